package org.agatehatch.api.fleet;

/** A part of a prompt that requests may share. */
public record PromptPart(String id, int tokens) {}
