// Package examples embeds the documents of two example cells. The dev command
// publishes those of one; the settings beside them are files only.
package examples

import "embed"

// Documents holds the example documents by cell and file name.
//
//go:embed */documents/*.jsonc
var Documents embed.FS
