/** Components that live as long as one caller's request. */
package org.agatehatch.gateway.request;
