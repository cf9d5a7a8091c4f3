// Package untrusted tests the daemon as a process against clients that nobody controls:
// many large, slow, unfinished or unread requests on each of its listeners.
package untrusted
