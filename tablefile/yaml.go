package tablefile

import (
	"io"
	"strconv"

	"go.yaml.in/yaml/v3"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
)

// ReadYAML reads rows from a mapping of sheet names to mappings of row keys to mappings of column names to cells. The
// error lists every invalid entry, with file, line and field.
func ReadYAML(name string, text []byte) ([]Line, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return nil, fault.Wrap(err, fault.BadRow, name, "not YAML")
	}
	if len(root.Content) == 0 {
		return nil, nil
	}
	p := yamlParser{name: name}
	p.visitEntries(root.Content[0], p.parseSheet)
	return p.lines, p.faults.OrNil()
}

type yamlParser struct {
	name   string
	lines  []Line
	faults fault.ListError
}

func (p *yamlParser) location(n *yaml.Node) string { return p.name + ":" + strconv.Itoa(n.Line) }

func (p *yamlParser) addFault(n *yaml.Node, field, detail string) {
	where := p.location(n)
	if field != "" {
		where += ": " + field
	}
	p.faults = append(p.faults, fault.New(fault.BadRow, where, detail))
}

// visitEntries calls visit for each entry of a mapping, and adds a fault for each key that occurs more than once.
func (p *yamlParser) visitEntries(n *yaml.Node, visit func(key, value *yaml.Node)) {
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	if n.Kind != yaml.MappingNode {
		p.addFault(n, "", "want a mapping")
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if seen[key.Value] {
			p.addFault(key, key.Value, "stands twice")
		}
		seen[key.Value] = true
		visit(key, n.Content[i+1])
	}
}

func (p *yamlParser) parseSheet(key, value *yaml.Node) {
	sheet, err := table.SheetNamed(key.Value)
	if err != nil {
		p.addFault(key, key.Value, "no such kind of row")
		return
	}
	p.visitEntries(value, func(rowKey, cells *yaml.Node) { p.parseRow(sheet, rowKey, cells) })
}

func (p *yamlParser) parseRow(sheet table.Sheet, key, value *yaml.Node) {
	cells := make([]string, len(sheet.Columns))
	p.visitEntries(value, func(column, cell *yaml.Node) {
		index, err := sheet.Column(column.Value)
		switch {
		case err != nil:
			p.addFault(column, sheet.Name+" "+key.Value+" "+column.Value, "no such column")
		case cell.Kind != yaml.ScalarNode:
			p.addFault(cell, sheet.Name+" "+key.Value+" "+column.Value, "want one value")
		default:
			cells[index] = cell.Value
		}
	})
	row, err := table.NewRow(sheet.Kind, key.Value, cells)
	p.faults = append(p.faults, withLocation(p.location(key), err)...)
	p.lines = append(p.lines, Line{Row: row, Where: p.location(key)})
}

// WriteYAML writes rows of any kinds in the form that ReadYAML reads.
func WriteYAML(w io.Writer, rows []table.Row) error {
	root := &yaml.Node{Kind: yaml.MappingNode}
	sheets := make(map[table.Kind]*yaml.Node)
	for _, r := range rows {
		sheet, err := table.SheetOf(r.Kind)
		if err != nil {
			return err
		}
		if sheets[r.Kind] == nil {
			sheets[r.Kind] = &yaml.Node{Kind: yaml.MappingNode}
			root.Content = append(root.Content, scalar(sheet.Name), sheets[r.Kind])
		}
		cells := &yaml.Node{Kind: yaml.MappingNode}
		for i, c := range sheet.Columns {
			cells.Content = append(cells.Content, scalar(c.Name), scalar(r.Cells[i]))
		}
		sheets[r.Kind].Content = append(sheets[r.Kind].Content, scalar(r.Key), cells)
	}
	enc := yaml.NewEncoder(w)
	if err := enc.Encode(root); err != nil {
		return fault.Wrap(err, fault.Unavailable, "output", "cannot be written")
	}
	return enc.Close()
}

func scalar(text string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: text}
}
