package database

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// column is one column of a result. An oid of 0 means that the type is not known
// yet.
type column struct {
	name string
	oid  uint32
}

// result is the complete result of one statement. columns is nil if the statement
// returns no rows.
type result struct {
	columns []column
	rows    [][]any
	tag     string
}

var declaredOIDs = map[string]uint32{
	"bigint": pgtype.Int8OID, "int8": pgtype.Int8OID,
	"integer": pgtype.Int4OID, "int": pgtype.Int4OID, "int4": pgtype.Int4OID,
	"smallint": pgtype.Int2OID, "int2": pgtype.Int2OID,
	"text": pgtype.TextOID, "varchar": pgtype.VarcharOID, "character varying": pgtype.VarcharOID,
	"boolean": pgtype.BoolOID, "bool": pgtype.BoolOID,
	"real": pgtype.Float8OID, "float8": pgtype.Float8OID, "double precision": pgtype.Float8OID,
	"timestamptz": pgtype.TimestamptzOID, "timestamp": pgtype.TimestampOID,
	"bytea": pgtype.ByteaOID, "blob": pgtype.ByteaOID,
}

// declaredOID returns the type OID of a declared column type. It returns 0 for an
// expression, which has no declared type, and text for an unlisted type.
func declaredOID(declared string) uint32 {
	name, _, _ := strings.Cut(declared, "(")
	name = strings.TrimSpace(name)
	if name == "" {
		return 0
	}
	if oid, ok := declaredOIDs[name]; ok {
		return oid
	}
	return pgtype.TextOID
}

// numericPrefixes are prefixes of expressions whose type is assumed to be int8 if
// there is no value to infer it from.
var numericPrefixes = []string{"count(", "sum(", "max(", "min(", "length(", "coalesce(max(", "coalesce(sum("}

// inferTypes sets the types of expression columns from the first row.
func (r *result) inferTypes() {
	for i := range r.columns {
		if r.columns[i].oid != 0 {
			continue
		}
		var value any
		if len(r.rows) > 0 {
			value = r.rows[0][i]
		}
		r.columns[i].oid = inferOID(r.columns[i].name, value)
	}
}

func inferOID(name string, value any) uint32 {
	switch value.(type) {
	case int64:
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	case bool:
		return pgtype.BoolOID
	case []byte:
		return pgtype.ByteaOID
	case nil:
		for _, prefix := range numericPrefixes {
			if strings.HasPrefix(strings.ToLower(name), prefix) {
				return pgtype.Int8OID
			}
		}
	}
	return pgtype.TextOID
}

// formatOf returns the format of one parameter or column from the format codes of
// a Bind message.
func formatOf(formats []int16, i int) int16 {
	switch len(formats) {
	case 0:
		return pgtype.TextFormatCode
	case 1:
		return formats[0]
	default:
		if i < len(formats) {
			return formats[i]
		}
		return pgtype.TextFormatCode
	}
}

func (r *result) description(formats []int16) *pgproto3.RowDescription {
	message := &pgproto3.RowDescription{}
	for i, column := range r.columns {
		message.Fields = append(message.Fields, pgproto3.FieldDescription{
			Name:         []byte(column.name),
			DataTypeOID:  column.oid,
			DataTypeSize: -1,
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return message
}

// dataRow encodes one row with the types of the given columns, which must be those
// that the client was sent.
func dataRow(columns []column, row []any, formats []int16) (*pgproto3.DataRow, error) {
	message := &pgproto3.DataRow{Values: make([][]byte, len(row))}
	for i, value := range row {
		encoded, err := encodeValue(columns[i].oid, formatOf(formats, i), value)
		if err != nil {
			return nil, err
		}
		message.Values[i] = encoded
	}
	return message, nil
}

func encodeValue(oid uint32, format int16, value any) ([]byte, error) {
	if value == nil {
		return nil, nil
	}
	value = coerce(oid, value)
	if format == pgtype.TextFormatCode {
		return []byte(textOf(value)), nil
	}
	encoded, err := pgtype.NewMap().Encode(oid, format, value, nil)
	if err != nil {
		return nil, &sqlError{codeInvalidTextValue, fmt.Sprintf("encode %v as type %d: %v", value, oid, err)}
	}
	return encoded, nil
}

// coerce converts a value from SQLite to the Go type that matches the column's
// type.
func coerce(oid uint32, value any) any {
	switch oid {
	case pgtype.BoolOID:
		return coerceBool(value)
	case pgtype.TimestamptzOID, pgtype.TimestampOID:
		return coerceTime(value)
	case pgtype.Int8OID, pgtype.Int4OID, pgtype.Int2OID:
		if text, ok := value.(string); ok {
			if number, err := strconv.ParseInt(text, 10, 64); err == nil {
				return number
			}
		}
	case pgtype.Float8OID:
		if number, ok := value.(int64); ok {
			return float64(number)
		}
	case pgtype.TextOID, pgtype.VarcharOID:
		return textOf(value)
	}
	return value
}

func coerceBool(value any) any {
	switch value := value.(type) {
	case int64:
		return value != 0
	case string:
		if parsed, err := strconv.ParseBool(value); err == nil {
			return parsed
		}
	}
	return value
}

var timeLayouts = []string{
	"2006-01-02 15:04:05.999999999Z07:00",
	"2006-01-02 15:04:05.999999999Z07",
	time.RFC3339Nano,
	"2006-01-02 15:04:05.999999999",
	time.DateOnly,
}

func coerceTime(value any) any {
	text, ok := value.(string)
	if !ok {
		return value
	}
	for _, layout := range timeLayouts {
		if parsed, err := time.Parse(layout, text); err == nil {
			return parsed
		}
	}
	return value
}

// textOf formats a value in PostgreSQL's text format.
func textOf(value any) string {
	switch value := value.(type) {
	case string:
		return value
	case []byte:
		return fmt.Sprintf("\\x%x", value)
	case int64:
		return strconv.FormatInt(value, 10)
	case float64:
		return strconv.FormatFloat(value, 'g', -1, 64)
	case bool:
		if value {
			return "t"
		}
		return "f"
	case time.Time:
		return value.Format("2006-01-02 15:04:05.999999Z07:00")
	default:
		return fmt.Sprint(value)
	}
}
