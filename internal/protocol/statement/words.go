package statement

import "strings"

// maxWordBytes is an upper bound on the length of the words in every wordSet.
const maxWordBytes = 40

// analyseWord is the option of EXPLAIN that executes the statement.
const analyseWord = "analyze" //nolint:misspell // an SQL keyword

// wordSet is a set of lower-case words.
type wordSet map[string]struct{}

func newWordSet(lists ...string) wordSet {
	set := wordSet{}
	for _, list := range lists {
		for _, word := range strings.Fields(list) {
			set[word] = struct{}{}
		}
	}
	return set
}

// contains reports whether word is in the set, ignoring case. It does not
// allocate.
func (set wordSet) contains(word string) bool {
	if len(word) > maxWordBytes {
		return false
	}
	var buffer [maxWordBytes]byte
	for i := range len(word) {
		c := word[i]
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		buffer[i] = c
	}
	_, found := set[string(buffer[:len(word)])]
	return found
}

// equalFold reports whether word equals lower, ignoring case.
func equalFold(word, lower string) bool {
	return len(word) == len(lower) && strings.EqualFold(word, lower)
}

// keywords may precede an opening parenthesis in a read. Each either cannot be
// the unquoted name of a user-defined function, or stands for a function
// without side effects.
var keywords = newWordSet(
	`select from where and or not in exists any all some as on using values with case when
	then else having group limit offset distinct union intersect except join lateral between
	like ilike cube rollup row only grouping array for table`,
	`varchar char character varying numeric decimal bit float time timestamp timestamptz
	timetz interval bpchar cast`)

// contextKeywords may precede an opening parenthesis in a read only after one
// of the listed words or symbols.
var contextKeywords = map[string][]string{
	"by":           {"order", "group", "partition"},
	"over":         {")"},
	"filter":       {")"},
	"materialized": {"as", "not"}, //nolint:misspell // an SQL keyword
	"sets":         {"grouping"},
}

// readFunctions are built-in functions without side effects whose result
// depends only on their arguments, the data and the clock.
var readFunctions = newWordSet(
	`count sum avg min max array_agg string_agg bool_and bool_or every bit_and bit_or
	json_agg jsonb_agg json_object_agg jsonb_object_agg stddev stddev_pop stddev_samp
	variance var_pop var_samp corr covar_pop covar_samp mode percentile_cont
	percentile_disc any_value range_agg`,
	`row_number rank dense_rank percent_rank cume_dist ntile lag lead first_value
	last_value nth_value`,
	`coalesce nullif greatest least abs ceil ceiling floor round trunc mod power sqrt cbrt
	exp ln log log10 sign div pi degrees radians sin cos tan asin acos atan atan2 random
	width_bucket factorial gcd lcm`,
	`lower upper length char_length character_length octet_length bit_length substring
	substr position strpos trim btrim ltrim rtrim lpad rpad left right replace translate
	reverse repeat split_part concat concat_ws format initcap ascii chr md5 sha224 sha256
	sha384 sha512 encode decode to_hex quote_literal quote_ident quote_nullable overlay
	starts_with regexp_match regexp_matches regexp_replace regexp_split_to_array
	regexp_split_to_table regexp_count regexp_like regexp_substr string_to_array
	string_to_table convert_from convert_to get_byte`,
	`now clock_timestamp statement_timestamp transaction_timestamp age date_part date_trunc
	date_bin extract make_date make_time make_timestamp make_timestamptz make_interval
	justify_days justify_hours justify_interval isfinite to_char to_date to_number
	to_timestamp timezone date`,
	`array_length array_lower array_upper array_dims array_ndims array_append array_prepend
	array_cat array_position array_positions array_remove array_replace array_to_string
	cardinality unnest generate_series generate_subscripts array_fill`,
	`to_json to_jsonb json_build_object jsonb_build_object json_build_array
	jsonb_build_array row_to_json array_to_json json_array_length jsonb_array_length
	json_array_elements jsonb_array_elements json_array_elements_text
	jsonb_array_elements_text json_each jsonb_each json_each_text jsonb_each_text
	json_extract_path jsonb_extract_path json_extract_path_text jsonb_extract_path_text
	json_object_keys jsonb_object_keys json_typeof jsonb_typeof jsonb_set jsonb_insert
	jsonb_pretty json_strip_nulls jsonb_strip_nulls jsonb_path_query jsonb_path_exists
	jsonb_path_query_array jsonb_path_query_first json_populate_record
	jsonb_populate_record json_to_record jsonb_to_record json_to_recordset
	jsonb_to_recordset json_object jsonb_object`,
	`lower_inc upper_inc isempty int4range int8range numrange tsrange tstzrange daterange
	to_tsvector to_tsquery plainto_tsquery phraseto_tsquery websearch_to_tsquery ts_rank
	ts_rank_cd ts_headline setweight gen_random_uuid version pg_typeof pg_sleep
	format_type pg_get_expr pg_get_indexdef pg_get_constraintdef pg_get_viewdef
	pg_get_userbyid obj_description col_description pg_table_is_visible
	pg_type_is_visible pg_encoding_to_char has_table_privilege has_schema_privilege
	pg_relation_size pg_total_relation_size pg_table_size pg_size_pretty num_nulls
	num_nonnulls`)

// writeWords never occur as unquoted words in a statement that only reads.
var writeWords = newWordSet(`insert update delete merge into truncate`)

// lockWords follow FOR in a row-locking clause.
var lockWords = newWordSet(`update share no key`)

// pinningFunctions leave state on the session that calls them.
var pinningFunctions = newWordSet(
	`pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock
	pg_try_advisory_lock_shared set_config setseed dblink_connect dblink_connect_u
	dblink_open pg_logical_slot_get_changes pg_replication_origin_session_setup`)
