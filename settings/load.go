package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"

	"github.com/lynxplank/lynxplank/fault"
)

// Load reads a file over the defaults in cfg; it returns every fault at once as a fault.ListError of BadSetting.
func Load[T any](path string, cfg *T) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, fault.BadSetting, path, "settings cannot be read")
	}
	return Parse(path, text, cfg)
}

// Watch tells whether a settings file has changed since it last asked; reading is cheap beside parsing and checking.
type Watch struct {
	path string
	text []byte
}

// NewWatch returns a watch of a file, of which it has seen nothing.
func NewWatch(path string) *Watch { return &Watch{path: path} }

// Changed tells whether the file says something else than at the last call, or cannot be read.
func (w *Watch) Changed() bool {
	text, err := os.ReadFile(w.path)
	if err == nil && bytes.Equal(text, w.text) {
		return false
	}
	w.text = text
	return true
}

// Parse reads a text over the defaults in cfg; name stands for the file in the faults.
func Parse[T any](name string, text []byte, cfg *T) error {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return fault.ListError{syntaxFault(name, err)}
	}
	fields := fieldsByLine(&root)
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	bad := decodeFaults(name, dec.Decode(cfg), fields)
	return withoutRepeats(bad, checkFaults(name, cfg, fields)).OrNil()
}

// withoutRepeats adds the faults of the second list for lines that the first does not name.
func withoutRepeats(first, second fault.ListError) fault.ListError {
	named := make(map[string]bool)
	for _, f := range first {
		named[f.Where] = true
	}
	for _, f := range second {
		if !named[f.Where] {
			first = append(first, f)
		}
	}
	return first
}

var lineOf = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

func syntaxFault(name string, err error) *fault.Error {
	m := lineOf.FindStringSubmatch(err.Error())
	if m == nil {
		return fault.Wrap(err, fault.BadSetting, name, "not YAML")
	}
	return fault.New(fault.BadSetting, name+":"+m[1], m[2])
}

func decodeFaults(name string, err error, fields []field) fault.ListError {
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	var types *yaml.TypeError
	if !errors.As(err, &types) {
		return fault.ListError{syntaxFault(name, err)}
	}
	var bad fault.ListError
	for _, text := range types.Errors {
		bad = append(bad, typeFault(name, text, fields))
	}
	return bad
}

var (
	unknownField = regexp.MustCompile(`^field (\S+) not found in type .*$`)
	wrongType    = regexp.MustCompile(`^cannot unmarshal !!\w+ (.*) into (.*)$`)
)

func typeFault(name, text string, fields []field) *fault.Error {
	m := lineOf.FindStringSubmatch(text)
	if m == nil {
		return fault.New(fault.BadSetting, name, text)
	}
	line, _ := strconv.Atoi(m[1])
	detail := unknownField.ReplaceAllString(m[2], "unknown field $1")
	detail = wrongType.ReplaceAllString(detail, "want $2, got $1")
	return fault.New(fault.BadSetting, where(name, line, pathAt(fields, line)), detail)
}

func where(name string, line int, path string) string {
	out := name + ":" + strconv.Itoa(line)
	if path != "" {
		out += ": " + path
	}
	return out
}

func checkFaults(name string, cfg any, fields []field) fault.ListError {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get("yaml"), ",")[0]
	})
	v.RegisterCustomTypeFunc(func(f reflect.Value) any {
		a, ok := f.Interface().(Address)
		if !ok || !a.IsValid() {
			return ""
		}
		return a.String()
	}, Address{})
	var failed validator.ValidationErrors
	if !errors.As(v.Struct(cfg), &failed) {
		return nil
	}
	var bad fault.ListError
	for _, f := range failed {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		path = strings.Replace(path, inlineListener, "", 1)
		line, at := nearest(fields, path)
		detail := ruleText(f)
		if at != path {
			detail += " for " + path
		}
		bad = append(bad, fault.New(fault.BadSetting, where(name, line, at), detail))
	}
	return bad
}

// inlineListener is how the checker names the embedded section, which the file does not show.
const inlineListener = "Listener."

func ruleText(f validator.FieldError) string {
	switch f.Tag() {
	case "required", "required_with":
		return "want a value"
	case "min", "gte":
		return "want " + bound(f) + " or more"
	case "max", "lte":
		return "want " + bound(f) + " or less"
	case "oneof":
		return "want one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	}
	return "breaks the rule " + f.Tag() + " " + f.Param()
}

func bound(f validator.FieldError) string { return f.Param() }

// field is one key of the file.
type field struct {
	path string
	line int
}

func fieldsByLine(root *yaml.Node) []field {
	var out []field
	var walk func(n *yaml.Node, path string)
	walk = func(n *yaml.Node, path string) {
		switch n.Kind {
		case yaml.DocumentNode:
			for _, c := range n.Content {
				walk(c, path)
			}
		case yaml.MappingNode:
			for i := 0; i+1 < len(n.Content); i += 2 {
				key := strings.TrimPrefix(path+"."+n.Content[i].Value, ".")
				out = append(out, field{path: key, line: n.Content[i].Line})
				walk(n.Content[i+1], key)
			}
		case yaml.SequenceNode:
			for i, c := range n.Content {
				key := fmt.Sprintf("%s[%d]", path, i)
				out = append(out, field{path: key, line: c.Line})
				walk(c, key)
			}
		case yaml.ScalarNode, yaml.AliasNode:
		}
	}
	walk(root, "")
	return out
}

func pathAt(fields []field, line int) string {
	for _, f := range slices.Backward(fields) {
		if f.line == line {
			return f.path
		}
	}
	return ""
}

// nearest finds the field's line, or the line of the innermost section around it that the file has.
func nearest(fields []field, path string) (line int, at string) {
	for at = path; at != ""; {
		i := slices.IndexFunc(fields, func(f field) bool { return f.path == at })
		if i >= 0 {
			return fields[i].line, at
		}
		cut := strings.LastIndexAny(at, ".[")
		at = at[:max(cut, 0)]
	}
	return 1, ""
}
