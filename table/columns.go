package table

import (
	"encoding"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"github.com/lynxplank/lynxplank/fault"
)

// Column describes one column of a kind.
type Column struct {
	// Name is the heading.
	Name string
	// Default is the text of an empty cell; unused when Required.
	Default string
	// Help is one phrase for people.
	Help string
	// Required marks a column whose cell may not be empty.
	Required bool
	// Secret marks a column whose text is never shown as it was given.
	Secret bool
	index  int
	// empty is the canonical text of an empty cell.
	empty string
}

// Sheet describes one kind of row.
type Sheet struct {
	// Kind is the kind that the sheet holds.
	Kind Kind
	// Name is the kind's name, as on the command line.
	Name string
	// Columns are in their fixed order; new ones are only ever added at the end.
	Columns []Column
	typ     reflect.Type
}

// Sheets lists every sheet in the order of their kinds.
var Sheets = []Sheet{
	newSheet[Service](KindService, "service"),
	newSheet[Endpoint](KindEndpoint, "endpoint"),
	newSheet[Route](KindRoute, "route"),
	newSheet[Customer](KindCustomer, "customer"),
	newSheet[Host](KindHost, "host"),
	newSheet[Listener](KindListener, "listener"),
	newSheet[Hall](KindHall, "hall"),
}

// sheetsByKind are those, and the sheets that operators write no rows of.
var sheetsByKind = func() map[Kind]Sheet {
	all := map[Kind]Sheet{
		KindPoison:     newSheet[PoisonRequest](KindPoison, "fatal"),
		KindEvacuation: newSheet[Evacuation](KindEvacuation, "evacuation"),
	}
	for _, s := range Sheets {
		all[s.Kind] = s
	}
	return all
}()

func newSheet[T any](kind Kind, name string) Sheet {
	typ := reflect.TypeFor[T]()
	s := Sheet{Kind: kind, Name: name, typ: typ}
	for i := range typ.NumField() {
		tag := typ.Field(i).Tag
		s.Columns = append(s.Columns, Column{
			Name:     tag.Get("col"),
			Default:  tag.Get("default"),
			Help:     tag.Get("help"),
			Required: tag.Get("required") == "yes",
			Secret:   tag.Get("secret") == "yes",
			index:    i,
		})
	}
	for i := range s.Columns {
		// A column that wants a value has no empty cell; its text is never that of one.
		s.Columns[i].empty, _ = setCell(reflect.New(typ).Elem().Field(i), s.Columns[i], "")
	}
	return s
}

// SheetOf returns the sheet of a kind, BadRow if there is none.
func SheetOf(kind Kind) (Sheet, error) {
	if s, ok := sheetsByKind[kind]; ok {
		return s, nil
	}
	return Sheet{}, fault.New(fault.BadRow, "", "no such kind of row")
}

// SheetNamed returns the sheet of a name, singular or plural, BadRow if there is none.
func SheetNamed(name string) (Sheet, error) {
	names := make([]string, 0, len(Sheets))
	for _, s := range Sheets {
		if s.Name == name || s.Name+"s" == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return Sheet{}, fault.New(fault.BadRow, name, "want one of "+strings.Join(names, ", "))
}

// Column returns the position of a column, BadRow if the sheet has none of that name.
func (s Sheet) Column(name string) (int, error) {
	for i, c := range s.Columns {
		if c.Name == name {
			return i, nil
		}
	}
	return 0, fault.New(fault.BadRow, s.Name+"."+name, "no such column")
}

// String returns the kind's name.
func (k Kind) String() string {
	s, err := SheetOf(k)
	if err != nil {
		return "unknown"
	}
	return s.Name
}

// unreadableSecret stands for a secret that cannot be read, in a row that is refused or set aside.
const unreadableSecret = "?"

// NewRow returns a row with every cell in its canonical text, or all that is wrong with it.
// An empty cell takes the column's default; cells may be fewer than the columns.
func NewRow(kind Kind, key string, cells []string) (Row, error) {
	sheet, err := SheetOf(kind)
	if err != nil {
		return Row{}, err
	}
	row := Row{Kind: kind, Key: key}
	var bad fault.ListError
	if key == "" || strings.ContainsAny(key, " \t\r\n/") {
		bad = append(bad, fault.New(fault.BadRow, sheet.Name+" "+key, "want a key without spaces or slashes"))
	}
	if len(cells) > len(sheet.Columns) {
		bad = append(bad, fault.New(fault.BadRow, sheet.Name+" "+key, "more cells than columns"))
	}
	value := reflect.New(sheet.typ).Elem()
	for i, c := range sheet.Columns {
		text := ""
		if i < len(cells) {
			text = strings.TrimSpace(cells[i])
		}
		canonical, cellErr := setCell(value.Field(c.index), c, text)
		if cellErr == nil {
			cellErr = checkCell(c.Name, canonical)
		}
		if cellErr != nil {
			bad = append(bad, fault.New(fault.BadRow, sheet.Name+" "+key+" "+c.Name, cellErr.Detail+c.got(text)))
			if c.Secret {
				canonical = unreadableSecret
			}
		}
		row.Cells = append(row.Cells, canonical)
	}
	return row, bad.OrNil()
}

// With returns the row with one cell replaced, or all that is wrong with the result.
func (r Row) With(column, text string) (Row, error) {
	sheet, err := SheetOf(r.Kind)
	if err != nil {
		return r, err
	}
	i, err := sheet.Column(column)
	if err != nil {
		return r, err
	}
	cells := append([]string(nil), r.Cells...)
	cells[i] = text
	next, err := NewRow(r.Kind, r.Key, cells)
	next.Meta = r.Meta
	return next, err
}

// Decode returns the typed value of a row that NewRow or a peer made, BadRow if a cell cannot be read.
func Decode[T any](r Row) (T, error) {
	value, bad := decodeCells[T](r)
	if len(bad) > 0 {
		return value, bad[0]
	}
	return value, nil
}

// decodeCells returns what can be read of a row, and what cannot, the first cell first.
func decodeCells[T any](r Row) (value T, bad fault.ListError) {
	sheet, err := SheetOf(r.Kind)
	if err != nil {
		return value, fault.ListError{fault.New(fault.BadRow, r.Key, "no such kind of row")}
	}
	v := reflect.ValueOf(&value).Elem()
	if v.Type() != sheet.typ {
		return value, fault.ListError{fault.New(fault.BadRow, sheet.Name+" "+r.Key, "row is of another kind")}
	}
	for i, c := range sheet.Columns {
		text := ""
		if i < len(r.Cells) {
			text = r.Cells[i]
		}
		if _, cellErr := setCell(v.Field(c.index), c, text); cellErr != nil {
			bad = append(bad, fault.New(fault.BadRow, sheet.Name+" "+r.Key+" "+c.Name, cellErr.Detail))
		}
	}
	if beyond := len(sheet.Columns); len(r.Cells) > beyond && slices.ContainsFunc(r.Cells[beyond:], func(cell string) bool { return cell != "" }) {
		bad = append(bad, fault.New(fault.BadRow, sheet.Name+" "+r.Key, "more cells than columns"))
	}
	return value, bad
}

// Encode returns the row of a typed value; it is the reverse of Decode.
func Encode[T any](kind Kind, key string, meta Meta, value T) Row {
	row := Row{Kind: kind, Key: key, Meta: meta}
	v := reflect.ValueOf(&value).Elem()
	for i := range v.NumField() {
		row.Cells = append(row.Cells, cellText(v.Field(i)))
	}
	return row
}

func setCell(field reflect.Value, c Column, text string) (string, *fault.Error) {
	if text == "" {
		text = c.Default
	}
	if text == "" && c.Required {
		return "", fault.New(fault.BadRow, "", "want a value")
	}
	if field.Kind() == reflect.String {
		field.SetString(text)
		return text, nil
	}
	u, ok := field.Addr().Interface().(encoding.TextUnmarshaler)
	if !ok {
		return "", fault.New(fault.Internal, c.Name, "column type has no text form")
	}
	if err := u.UnmarshalText([]byte(text)); err != nil {
		return text, fault.New(fault.BadRow, "", detailOf(err))
	}
	return cellText(field), nil
}

func cellText(field reflect.Value) string {
	if field.Kind() == reflect.String {
		return field.String()
	}
	m, ok := field.Interface().(encoding.TextMarshaler)
	if !ok {
		return ""
	}
	text, err := m.MarshalText()
	if err != nil {
		return ""
	}
	return string(text)
}

func checkCell(column, text string) *fault.Error {
	switch column {
	case "address":
		if _, err := netip.ParseAddrPort(text); err != nil {
			return fault.New(fault.BadRow, "", "want an IP and port")
		}
	case "prefix":
		if !strings.HasPrefix(text, "/") {
			return fault.New(fault.BadRow, "", "want a path that starts with /")
		}
	}
	return nil
}

func detailOf(err error) string {
	if e, ok := err.(*fault.Error); ok { //nolint:errorlint // the value types return it bare
		return e.Detail
	}
	return err.Error()
}

// got quotes the text of a cell that cannot be read.
func (c Column) got(text string) string {
	if c.Secret {
		return ""
	}
	return `, got "` + text + `"`
}
