package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// table is a result in tabular form.
type table struct {
	head []string
	rows [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// print writes value as JSON, or the tables as text, as the output flag selects.
func (e *env) print(value any, tables ...*table) error {
	if e.globals.Output == "json" {
		enc := json.NewEncoder(e.out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	for i, t := range tables {
		if i > 0 {
			fmt.Fprintln(e.out)
		}
		if err := e.printTable(t); err != nil {
			return err
		}
	}
	return nil
}

func (e *env) printTable(t *table) error {
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.head, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
