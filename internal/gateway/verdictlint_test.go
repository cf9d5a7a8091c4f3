package gateway_test

import (
	"go/ast"
	"go/types"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/go/packages"
)

const verdictPath = "github.com/currantwinch/currantwinch/verdict"

// errorSources are the packages whose functions and interfaces return errors with
// a verdict by contract: those that the check covers, and those that define the
// interfaces they call.
var errorSources = []string{
	verdictPath,
	"github.com/currantwinch/currantwinch/internal/gateway",
	"github.com/currantwinch/currantwinch/internal/roles",
	"github.com/currantwinch/currantwinch/internal/adapter/backendhttp",
	"github.com/currantwinch/currantwinch/internal/gateway/testdata/verdictless",
}

// TestErrors_CarryVerdicts checks that the gateway and the HTTP adapter return no
// error of another package, such as a network error, without a verdict.
func TestErrors_CarryVerdicts(t *testing.T) {
	found := lint(t, "../..", "./internal/gateway", "./internal/adapter/backendhttp")
	for _, f := range found {
		t.Error(f)
	}
}

// TestErrors_CheckCatches checks that lint finds each known way to return an error
// without a verdict.
func TestErrors_CheckCatches(t *testing.T) {
	found := lint(t, "testdata/verdictless", ".")
	var got []string
	for _, f := range found {
		got = append(got, strings.Fields(f)[1])
	}
	want := "direct variable wrapped reassigned shadowed named literal made"
	if strings.Join(got, " ") != want {
		t.Errorf("got %v, want %s", got, want)
	}
}

// lint returns a line "file function ..." for each error that is returned without a
// verdict.
func lint(t *testing.T, dir string, patterns ...string) []string {
	t.Helper()
	loaded, err := packages.Load(&packages.Config{
		Dir:  dir,
		Mode: packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports | packages.NeedDeps | packages.NeedExportFile,
	}, patterns...)
	if err != nil || packages.PrintErrors(loaded) > 0 {
		t.Fatalf("load: %v", err)
	}
	var found []string
	for _, p := range loaded {
		c := errorCheck{info: p.TypesInfo}
		for _, file := range p.Syntax {
			for _, d := range file.Decls {
				if f, ok := d.(*ast.FuncDecl); ok && f.Body != nil {
					c.checkFunction(f.Name.Name, f.Type, f.Body)
				}
			}
		}
		for _, problem := range c.problems {
			position := p.Fset.Position(problem.node.Pos())
			found = append(found, filepath.Base(position.Filename)+" "+problem.function+" returns an error without a verdict at "+position.String())
		}
	}
	return found
}

type errorProblem struct {
	function string
	node     ast.Node
}

type errorCheck struct {
	info     *types.Info
	problems []errorProblem
}

// checkFunction checks every return statement of one function, and those of
// the function literals in it.
func (c *errorCheck) checkFunction(name string, signature *ast.FuncType, body *ast.BlockStmt) {
	returnsError := c.lastResultIsError(signature)
	// withoutVerdict holds the variables that may hold an error without a verdict.
	withoutVerdict := make(map[types.Object]bool)
	ast.Inspect(body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncLit:
			c.checkFunction(name, n.Type, n.Body)
			return false
		case *ast.AssignStmt:
			c.assign(withoutVerdict, n.Lhs, n.Rhs)
		case *ast.ValueSpec:
			lhs := make([]ast.Expr, len(n.Names))
			for i := range n.Names {
				lhs[i] = n.Names[i]
			}
			c.assign(withoutVerdict, lhs, n.Values)
		case *ast.ReturnStmt:
			if returnsError && !c.returnsVerdict(withoutVerdict, n) {
				c.problems = append(c.problems, errorProblem{name, n})
			}
		}
		return true
	})
}

func (c *errorCheck) lastResultIsError(f *ast.FuncType) bool {
	if f.Results == nil || len(f.Results.List) == 0 {
		return false
	}
	last := f.Results.List[len(f.Results.List)-1]
	return types.Identical(c.info.TypeOf(last.Type), types.Universe.Lookup("error").Type())
}

// assign records for each assigned error variable whether its new value may be an
// error without a verdict.
func (c *errorCheck) assign(withoutVerdict map[types.Object]bool, lhs, rhs []ast.Expr) {
	for i, l := range lhs {
		id, ok := l.(*ast.Ident)
		if !ok || len(rhs) == 0 {
			continue
		}
		o := c.info.ObjectOf(id)
		if o == nil || !types.Identical(o.Type(), types.Universe.Lookup("error").Type()) {
			continue
		}
		value := rhs[0]
		if len(rhs) == len(lhs) {
			value = rhs[i]
		}
		withoutVerdict[o] = !c.carriesVerdict(withoutVerdict, value)
	}
}

func (c *errorCheck) returnsVerdict(withoutVerdict map[types.Object]bool, r *ast.ReturnStmt) bool {
	if len(r.Results) == 0 {
		for _, b := range withoutVerdict {
			if b {
				return false
			}
		}
		return true
	}
	return c.carriesVerdict(withoutVerdict, r.Results[len(r.Results)-1])
}

// carriesVerdict reports whether an error expression has a verdict or is nil.
func (c *errorCheck) carriesVerdict(withoutVerdict map[types.Object]bool, e ast.Expr) bool {
	switch e := e.(type) {
	case *ast.Ident:
		if e.Name == "nil" {
			return true
		}
		o := c.info.ObjectOf(e)
		return c.isVerdict(e) || o != nil && !withoutVerdict[o] && o.Pkg() != nil && o.Parent() != o.Pkg().Scope()
	case *ast.CallExpr:
		return c.isVerdict(e) || c.callsErrorSource(e)
	case *ast.ParenExpr:
		return c.carriesVerdict(withoutVerdict, e.X)
	}
	return c.isVerdict(e)
}

func (c *errorCheck) isVerdict(e ast.Expr) bool {
	t := c.info.TypeOf(e)
	p, ok := t.(*types.Pointer)
	if !ok {
		return false
	}
	named, ok := p.Elem().(*types.Named)
	return ok && named.Obj().Pkg() != nil && named.Obj().Pkg().Path() == verdictPath
}

// callsErrorSource reports whether a call is to a function or method of a package in
// errorSources.
func (c *errorCheck) callsErrorSource(call *ast.CallExpr) bool {
	var id *ast.Ident
	switch f := call.Fun.(type) {
	case *ast.Ident:
		id = f
	case *ast.SelectorExpr:
		id = f.Sel
	default:
		return false
	}
	o := c.info.ObjectOf(id)
	if v, ok := o.(*types.Var); ok {
		// A function value of such a package is checked where it is defined.
		return v.Pkg() != nil && c.isErrorSource(v.Pkg().Path())
	}
	return o != nil && o.Pkg() != nil && c.isErrorSource(o.Pkg().Path())
}

func (c *errorCheck) isErrorSource(path string) bool {
	for _, s := range errorSources {
		if s == path {
			return true
		}
	}
	return false
}
