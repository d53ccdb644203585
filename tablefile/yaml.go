package tablefile

import (
	"io"
	"strconv"

	"go.yaml.in/yaml/v3"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
)

// ReadYAML reads declarations: sheets by name, in each the rows by key, in each the cells by column. It returns every
// fault at once, each with file, line and field.
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
	return d.lines, d.bad.OrNil()
}

type declarations struct {
	name  string
	lines []FileRow
	bad   fault.ListError
}

func (d *declarations) where(n *yaml.Node) string { return d.name + ":" + strconv.Itoa(n.Line) }

func (d *declarations) fail(n *yaml.Node, field, detail string) {
	where := d.where(n)
	if field != "" {
		where += ": " + field
	}
	d.bad = append(d.bad, fault.New(fault.BadRow, where, detail))
}

// entries visits a mapping and refuses keys that stand twice.
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

func (d *declarations) sheet(key, value *yaml.Node) {
	sheet, err := table.SheetNamed(key.Value)
	if err != nil {
		d.fail(key, key.Value, "no such kind of row")
		return
	}
	d.entries(value, func(rowKey, cells *yaml.Node) { d.row(sheet, rowKey, cells) })
}

func (d *declarations) row(sheet table.Sheet, key, value *yaml.Node) {
	cells := make([]string, len(sheet.Columns))
	d.entries(value, func(column, cell *yaml.Node) {
		at, err := sheet.Column(column.Value)
		switch {
		case err != nil:
			d.fail(column, sheet.Name+" "+key.Value+" "+column.Value, "no such column")
		case cell.Kind != yaml.ScalarNode:
			d.fail(cell, sheet.Name+" "+key.Value+" "+column.Value, "want one value")
		default:
			cells[at] = cell.Value
		}
	})
	row, err := table.NewRow(sheet.Kind, key.Value, cells)
	d.bad = append(d.bad, placed(d.where(key), err)...)
	d.lines = append(d.lines, FileRow{Row: row, Position: d.where(key)})
}

// WriteYAML writes rows of any kinds as declarations that ReadYAML reads.
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
