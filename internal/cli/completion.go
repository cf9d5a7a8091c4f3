package cli

import (
	"io"
	"os"
	"text/template"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"
)

type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"Shell to complete in: bash, zsh or fish."`
}

// Help shows an example.
func (completionCommand) Help() string {
	return "Example: source <(currantwinch completion bash)\n\nIn fish: currantwinch completion fish | source"
}

// completionScripts register this program as the completion command of each
// shell. The shell sets COMP_LINE and reads one completion per line.
var completionScripts = map[string]*template.Template{
	"bash": template.Must(template.New("bash").Parse(`complete -o default -C {{.Program}} {{.Name}}
`)),
	"zsh": template.Must(template.New("zsh").Parse(`autoload -U +X bashcompinit && bashcompinit
complete -o default -C {{.Program}} {{.Name}}
`)),
	"fish": template.Must(template.New("fish").Parse(`function __complete_{{.Name}}
    set -lx COMP_LINE (commandline -cp)
    test -z (commandline -ct)
    and set COMP_LINE "$COMP_LINE "
    {{.Program}}
end
complete -c {{.Name}} -a "(__complete_{{.Name}})"
`)),
}

// Run prints the completion script of the shell.
func (c *completionCommand) Run(e *env) error {
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find this program")
	}
	return writeCompletion(e.out, c.Shell, program)
}

func writeCompletion(out io.Writer, shell, program string) error {
	script := completionScripts[shell]
	return errors.Wrap(script.Execute(out, struct{ Program, Name string }{program, programName}), "write completion")
}

// answerCompletion prints completions and makes the parser exit if a shell has
// called the program for them.
func answerCompletion(parser *kong.Kong) {
	kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*")))
}
