/**
 * Stand-in of a plain service, some of whose calls may not be repeated.
 */
package org.agatehatch.standins.service;
