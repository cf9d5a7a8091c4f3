// Package untrusted tests both programs of the daemon, `host` and `run`, as processes against
// clients that nobody controls: many large, slow, unfinished or unread requests on each of
// their listeners.
package untrusted
