package org.agatehatch.api.catalogue;

/** Type of a catalogue field. */
enum FieldKind {
    TEXT,
    INTEGER,
    NUMBER,
    FLAG,
    TEXT_LIST
}
