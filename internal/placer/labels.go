package placer

import "github.com/currantwinch/currantwinch/document"

func classOf(l TaskLabels) document.Class       { return document.Class(l.Class) }
func priorityOf(l TaskLabels) document.Priority { return document.Priority(l.Priority) }
