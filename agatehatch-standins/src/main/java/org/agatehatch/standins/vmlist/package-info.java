/**
 * Stand-in of the platform's list of virtual machines.
 */
package org.agatehatch.standins.vmlist;
