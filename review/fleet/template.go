package fleet

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]*\}\}`)
	gapPattern     = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)
)

// fill fills the gaps of a template with the fields, as the platform does. A section stands if its field is given.
func fill(template string, fields map[string]any) string {
	text := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		parts := sectionPattern.FindStringSubmatch(s)
		value, ok := fields[parts[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", fmt.Sprint(value))
	})
	return gapPattern.ReplaceAllStringFunc(text, func(s string) string {
		parts := gapPattern.FindStringSubmatch(s)
		value, ok := fields[parts[1]]
		if !ok {
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return ""
		}
		return string(encoded)
	})
}
