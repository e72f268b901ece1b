package org.agatehatch.api.engine;

/** Type of an order to an engine. */
public enum OrderKind {
    LOAD,
    UNLOAD,
    SET_ROLE
}
