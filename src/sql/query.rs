//! Classification of queries: which of them only read.

use super::{Refused, Statement, has, is};
use sqlparser::tokenizer::Token;

/// Functions that neither write nor depend on the session's state. Sorted.
///
/// The list includes functions whose result differs between databases, such as
/// `pg_is_in_recovery`: any database's result is correct.
const PURE_FUNCTIONS: &[&str] = &[
    "abs",
    "age",
    "any",
    "array",
    "array_agg",
    "array_length",
    "array_position",
    "array_to_string",
    "avg",
    "bool_and",
    "bool_or",
    "btrim",
    "cardinality",
    "cast",
    "ceil",
    "ceiling",
    "char_length",
    "coalesce",
    "col_description",
    "concat",
    "concat_ws",
    "count",
    "cube",
    "current_database",
    "current_schema",
    "current_schemas",
    "current_setting",
    "date",
    "date_bin",
    "date_part",
    "date_trunc",
    "decode",
    "dense_rank",
    "encode",
    "every",
    "exists",
    "extract",
    "first_value",
    "floor",
    "format",
    "format_type",
    "generate_series",
    "greatest",
    "has_database_privilege",
    "has_schema_privilege",
    "has_table_privilege",
    "initcap",
    "interval",
    "json_agg",
    "json_array_length",
    "json_build_array",
    "json_build_object",
    "json_extract_path",
    "json_object_agg",
    "jsonb_agg",
    "jsonb_array_elements",
    "jsonb_array_length",
    "jsonb_build_array",
    "jsonb_build_object",
    "jsonb_each",
    "jsonb_extract_path",
    "jsonb_object_agg",
    "jsonb_typeof",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "lower",
    "lpad",
    "ltrim",
    "make_date",
    "max",
    "md5",
    "min",
    "mod",
    "now",
    "ntile",
    "nullif",
    "obj_description",
    "octet_length",
    "overlay",
    "percentile_cont",
    "percentile_disc",
    "pg_backend_pid",
    "pg_database_size",
    "pg_encoding_to_char",
    "pg_function_is_visible",
    "pg_get_constraintdef",
    "pg_get_expr",
    "pg_get_function_arguments",
    "pg_get_function_result",
    "pg_get_functiondef",
    "pg_get_indexdef",
    "pg_get_partkeydef",
    "pg_get_statisticsobjdef_columns",
    "pg_get_triggerdef",
    "pg_get_userbyid",
    "pg_get_viewdef",
    "pg_is_in_recovery",
    "pg_relation_is_publishable",
    "pg_relation_size",
    "pg_size_pretty",
    "pg_sleep",
    "pg_table_is_visible",
    "pg_table_size",
    "pg_total_relation_size",
    "pg_type_is_visible",
    "position",
    "power",
    "quote_ident",
    "quote_literal",
    "rank",
    "regexp_match",
    "regexp_matches",
    "regexp_replace",
    "regexp_split_to_array",
    "repeat",
    "replace",
    "reverse",
    "right",
    "rollup",
    "round",
    "row",
    "row_number",
    "row_to_json",
    "rpad",
    "rtrim",
    "shobj_description",
    "sign",
    "some",
    "split_part",
    "sqrt",
    "starts_with",
    "stddev",
    "string_agg",
    "string_to_array",
    "strpos",
    "substr",
    "substring",
    "sum",
    "to_char",
    "to_date",
    "to_json",
    "to_jsonb",
    "to_number",
    "to_timestamp",
    "translate",
    "trim",
    "trunc",
    "unnest",
    "upper",
    "variance",
    "version",
];

/// Keywords and type names after which a parenthesis does not start a function call.
const GRAMMAR_WORDS: &[&str] = &[
    "ALL",
    "AND",
    "AS",
    "BIT",
    "BY",
    "CASE",
    "CHAR",
    "CHARACTER",
    "CROSS",
    "DECIMAL",
    "DISTINCT",
    "ELSE",
    "EXCEPT",
    "FETCH",
    "FILTER",
    "FIRST",
    "FROM",
    "GROUPING",
    "GROUP",
    "HAVING",
    "ILIKE",
    "IN",
    "INNER",
    "INTERSECT",
    "IS",
    "JOIN",
    "LATERAL",
    "LIKE",
    "LIMIT",
    "MATERIALIZED",
    "NOT",
    "NUMERIC",
    "OFFSET",
    "OPERATOR",
    "COLLATE",
    "ON",
    "OR",
    "OVER",
    "SELECT",
    "SETS",
    "THEN",
    "TIME",
    "TIMESTAMP",
    "TIMESTAMPTZ",
    "UNION",
    "USING",
    "VALUES",
    "VARCHAR",
    "VARYING",
    "WHEN",
    "WHERE",
    "WITHIN",
];

/// Functions for session-level locks, which last until the end of the session.
const SESSION_LOCKS: &[&str] = &[
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_all",
    "pg_advisory_unlock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
];

/// Classifies a statement that starts like a query.
pub(super) fn classify(tokens: &[Token]) -> Statement {
    if let Some(refused) = session_state(tokens) {
        return Statement::Refused(refused);
    }
    if may_write(tokens) {
        return Statement::Write;
    }
    Statement::Read
}

/// Classifies `EXPLAIN`, which runs the statement only under `ANALYZE`.
pub(super) fn explain(tokens: &[Token]) -> Statement {
    if let Some(refused) = session_state(tokens) {
        return Statement::Refused(refused);
    }
    if has(tokens, &["ANALYZE", "ANALYSE"]) && may_write(tokens) {
        return Statement::Write;
    }
    Statement::Read
}

/// The session state that the statement would leave on its connection, if any.
pub(super) fn session_state(tokens: &[Token]) -> Option<Refused> {
    calls(tokens).find_map(|call| {
        let name = call.name.to_ascii_lowercase();
        if SESSION_LOCKS.contains(&name.as_str()) {
            return Some(Refused::Lock);
        }
        (name == "set_config" && !ends_in_true(&tokens[call.index..])).then_some(Refused::Set)
    })
}

/// Whether the last word in the first parentheses of `tokens` is `true`: for `set_config`, this is the
/// argument `is_local`.
fn ends_in_true(tokens: &[Token]) -> bool {
    let mut depth = 0_usize;
    for (index, token) in tokens.iter().enumerate() {
        match token {
            Token::LParen => depth += 1,
            Token::RParen if depth <= 1 => {
                return index > 0 && is(tokens.get(index - 1), "TRUE");
            }
            Token::RParen => depth -= 1,
            _ => {}
        }
    }
    false
}

/// Whether any part of the statement may write or lock.
fn may_write(tokens: &[Token]) -> bool {
    let writes = has(
        tokens,
        &["INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "SHARE"],
    );
    writes || calls(tokens).any(|call| !call.pure)
}

/// A function call: a word before a parenthesis that is not part of SQL's grammar.
struct Call<'a> {
    name: &'a str,
    /// The index of the word in the tokens.
    index: usize,
    pure: bool,
}

fn calls(tokens: &[Token]) -> impl Iterator<Item = Call<'_>> {
    tokens
        .windows(2)
        .enumerate()
        .filter_map(move |(index, pair)| {
            let (Token::Word(name), Token::LParen) = (&pair[0], &pair[1]) else {
                return None;
            };
            let quoted = name.quote_style.is_some();
            let qualifier = qualifier(tokens, index);
            let keyword = |word: &&str| name.value.eq_ignore_ascii_case(word);
            let grammar = !quoted && qualifier.is_none() && GRAMMAR_WORDS.iter().any(keyword);
            if grammar || is_column_list(tokens, index) {
                return None;
            }
            let built_in = qualifier.is_none_or(|schema| schema.eq_ignore_ascii_case("pg_catalog"));
            let lower = name.value.to_ascii_lowercase();
            let known = PURE_FUNCTIONS.binary_search(&lower.as_str()).is_ok();
            Some(Call {
                name: &name.value,
                index,
                pure: built_in && known,
            })
        })
}

/// The schema that qualifies the word at `index`, if any.
fn qualifier(tokens: &[Token], index: usize) -> Option<&str> {
    let dot = tokens.get(index.checked_sub(1)?)?;
    let schema = tokens.get(index.checked_sub(2)?)?;
    match (schema, dot) {
        (Token::Word(schema), Token::Period) => Some(&schema.value),
        _ => None,
    }
}

/// Whether the parenthesis after the word at `index` lists the columns of an alias, as in
/// `WITH lots (id, body) AS` or `FROM (...) AS lots (id)`.
fn is_column_list(tokens: &[Token], index: usize) -> bool {
    let before = index.checked_sub(1).and_then(|index| tokens.get(index));
    if is(before, "AS") {
        return true;
    }
    if !is(before, "WITH") && !is(before, "RECURSIVE") {
        return false;
    }
    let close = tokens[index..]
        .iter()
        .position(|token| *token == Token::RParen);
    let after = close.and_then(|close| tokens.get(index + close + 1));
    is(after, "AS")
}
