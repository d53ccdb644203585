package tablefile

import (
	"io"
	"strconv"

	"go.yaml.in/yaml/v3"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
)

// ReadYAML reads declarations: a mapping from kinds of row to mappings from keys to rows, each of which maps columns to
// cells. It reports all errors in the file together, each with file, line and field.
func ReadYAML(name string, text []byte) ([]FileRow, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return nil, fault.Wrap(err, fault.BadRow, name, "not YAML")
	}
	if len(root.Content) == 0 {
		return nil, nil
	}
	d := declarations{name: name}
	d.entries(root.Content[0], d.sheet)
	return d.rows, d.bad.OrNil()
}

// declarations collects the rows and the errors of one file.
type declarations struct {
	name string
	rows []FileRow
	bad  fault.ListError
}

// position returns the file and line of a node.
func (d *declarations) position(n *yaml.Node) string { return d.name + ":" + strconv.Itoa(n.Line) }

// fail adds an error at a node; field is "" if the error concerns the whole node.
func (d *declarations) fail(n *yaml.Node, field, detail string) {
	where := d.position(n)
	if field != "" {
		where += ": " + field
	}
	d.bad = append(d.bad, fault.New(fault.BadRow, where, detail))
}

// entries visits the entries of a mapping and reports duplicate keys. A null node counts as an empty mapping.
func (d *declarations) entries(n *yaml.Node, visit func(key, value *yaml.Node)) {
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	if n.Kind != yaml.MappingNode {
		d.fail(n, "", "want a mapping")
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if seen[key.Value] {
			d.fail(key, key.Value, "stands twice")
		}
		seen[key.Value] = true
		visit(key, n.Content[i+1])
	}
}

// sheet reads the rows of one kind.
func (d *declarations) sheet(key, value *yaml.Node) {
	sheet, err := table.SheetNamed(key.Value)
	if err != nil {
		d.fail(key, key.Value, "no such kind of row")
		return
	}
	d.entries(value, func(rowKey, cells *yaml.Node) { d.row(sheet, rowKey, cells) })
}

// row reads the cells of one row.
func (d *declarations) row(sheet table.Sheet, key, value *yaml.Node) {
	cells := make([]string, len(sheet.Columns))
	d.entries(value, func(column, cell *yaml.Node) {
		index, err := sheet.Column(column.Value)
		switch {
		case err != nil:
			d.fail(column, sheet.Name+" "+key.Value+" "+column.Value, "no such column")
		case cell.Kind != yaml.ScalarNode:
			d.fail(cell, sheet.Name+" "+key.Value+" "+column.Value, "want one value")
		default:
			cells[index] = cell.Value
		}
	})
	row, err := table.NewRow(sheet.Kind, key.Value, cells)
	d.bad = append(d.bad, withPosition(d.position(key), err)...)
	d.rows = append(d.rows, FileRow{Row: row, Position: d.position(key)})
}

// WriteYAML writes rows of any kinds as declarations that ReadYAML can read.
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

// scalar returns a string node.
func scalar(text string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: text}
}
