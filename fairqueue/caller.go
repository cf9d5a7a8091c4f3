package fairqueue

import "strings"

// Account returns the part of a caller's name before the first slash, which is
// the account that competes for service. A caller that uses many names of the
// form "account/suffix" gains no larger share.
func Account(caller string) string {
	account, _, _ := strings.Cut(caller, "/")
	return account
}
