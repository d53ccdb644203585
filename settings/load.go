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
	"unicode"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"

	"github.com/lynxplank/lynxplank/fault"
)

// Load reads a settings file over the defaults in cfg. It returns all errors in the file at once, as a fault.ListError of
// BadSetting.
func Load[T any](path string, cfg *T) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, fault.BadSetting, path, "settings file cannot be read")
	}
	return Parse(path, text, cfg)
}

// Watch detects changes of a settings file. It compares the file's text, since reading is cheap compared to parsing and
// validating.
type Watch struct {
	path string
	text []byte
}

// NewWatch returns a Watch whose first call of Changed reports a change, unless the file is empty.
func NewWatch(path string) *Watch { return &Watch{path: path} }

// Changed reports whether the file's text differs from that at the last call, or the file cannot be read.
func (w *Watch) Changed() bool {
	text, err := os.ReadFile(w.path)
	if err == nil && bytes.Equal(text, w.text) {
		return false
	}
	w.text = text
	return true
}

// Parse parses YAML text over the defaults in cfg; name is the file name used in errors.
func Parse[T any](name string, text []byte, cfg *T) error {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return fault.ListError{syntaxFault(name, err)}
	}
	fields := fieldsByLine(&root)
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	bad := decodeFaults(name, dec.Decode(cfg), fields)
	return mergeFaults(bad, checkFaults(name, cfg, fields)).OrNil()
}

// mergeFaults appends to first those faults of second whose location first does not contain.
func mergeFaults(first, second fault.ListError) fault.ListError {
	located := make(map[string]bool)
	for _, f := range first {
		located[f.Where] = true
	}
	for _, f := range second {
		if !located[f.Where] {
			first = append(first, f)
		}
	}
	return first
}

// linePrefix matches an error message of the YAML package with its line number.
var linePrefix = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// syntaxFault converts an error of the YAML parser.
func syntaxFault(name string, err error) *fault.Error {
	m := linePrefix.FindStringSubmatch(err.Error())
	if m == nil {
		return fault.Wrap(err, fault.BadSetting, name, "file is not valid YAML")
	}
	return fault.New(fault.BadSetting, name+":"+m[1], m[2])
}

// decodeFaults converts the errors of decoding into settings: values of the wrong type and unknown fields.
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

// typeFault converts the text of a single decoding error.
func typeFault(name, text string, fields []field) *fault.Error {
	m := linePrefix.FindStringSubmatch(text)
	if m == nil {
		return fault.New(fault.BadSetting, name, text)
	}
	line, _ := strconv.Atoi(m[1])
	detail := unknownField.ReplaceAllString(m[2], "unknown field $1")
	detail = wrongType.ReplaceAllString(detail, "want $2, got $1")
	return fault.New(fault.BadSetting, where(name, line, pathAt(fields, line)), detail)
}

// where formats the location of an error.
func where(name string, line int, path string) string {
	out := name + ":" + strconv.Itoa(line)
	if path != "" {
		out += ": " + path
	}
	return out
}

// checkFaults validates settings against the rules in their validate tags.
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

// inlineListener is the path element that the validator uses for the embedded Listener, which has no key in the file.
const inlineListener = "Listener."

// ruleText describes the violated validation rule.
func ruleText(f validator.FieldError) string {
	switch f.Tag() {
	case "required", "required_with":
		return "want a value"
	case "min", "gte":
		return "want " + bound(f) + " or more"
	case "max", "lte":
		return "want " + bound(f) + " or less"
	case "ltefield":
		return "want no more than " + keyOf(f.Param())
	case "oneof":
		return "want one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	}
	return "breaks the rule " + f.Tag() + " " + f.Param()
}

// keyOf returns the key in the file of a field named in a rule.
func keyOf(name string) string {
	var key strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			key.WriteByte('_')
		}
		key.WriteRune(unicode.ToLower(r))
	}
	return key.String()
}

func bound(f validator.FieldError) string { return f.Param() }

// field is a key or list element of the file, with its path and line.
type field struct {
	path string
	line int
}

// fieldsByLine returns all fields of a document in the order of the file.
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

// pathAt returns the path of the last field on a line, "" if there is none.
func pathAt(fields []field, line int) string {
	for _, f := range slices.Backward(fields) {
		if f.line == line {
			return f.path
		}
	}
	return ""
}

// nearest returns the line and path of a field or, if the file does not contain the field, of the innermost enclosing section
// that the file contains.
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
