//! Plans a statement: how it is run, how long it sleeps, and its text for SQLite.

use super::value::{self, Oid};
use crate::clock::Span;
use sqlparser::ast::{
    Expr, Insert, Query, Select, SelectItem, Set, SetExpr, Statement, TransactionAccessMode,
    TransactionIsolationLevel, TransactionMode, Value as Literal,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};
use std::collections::BTreeMap;
use std::time::Duration;

/// How a statement is run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Action {
    /// Opens a transaction.
    Begin(Mode),
    /// Ends a transaction.
    Commit,
    /// Rolls back a transaction.
    Rollback,
    /// Sets a session variable; `None` for a form of `SET` that is ignored.
    Set(Option<(Box<str>, Box<str>)>),
    /// Clears the session's variables.
    Reset,
    /// Shows a session variable.
    Show(Box<str>),
    /// Reads rows.
    Read,
    /// Reads rows and locks them until the transaction ends.
    Lock,
    /// Changes rows or tables.
    Write,
}

/// The mode of a transaction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Mode {
    /// Whether writes are rejected.
    pub(super) read_only: bool,
    /// Whether it excludes other writing transactions from its start on: the isolation level is
    /// repeatable read or serializable.
    pub(super) exclusive: bool,
}

/// A parsed statement.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    /// How it is run.
    pub(super) action: Action,
    /// The text that SQLite runs.
    pub(super) text: Box<str>,
    /// The command tag, without its row count.
    pub(super) verb: &'static str,
    /// The duration of its `pg_sleep` call.
    pub(super) sleep: Span,
    /// The types of the result's columns; `None` for `*`, whose columns come from the schema.
    pub(super) columns: Vec<Option<Oid>>,
    /// The types of the parameters, where they can be inferred from the text.
    pub(super) params: Vec<Option<Oid>>,
}

/// The types of the tables' columns, by column name.
pub(super) type Schema = BTreeMap<Box<str>, Oid>;

/// Parses the statements of `text`; the error is the parser's message.
pub(super) fn parse(text: &str, schema: &Schema) -> Result<Vec<Plan>, String> {
    let statements =
        Parser::parse_sql(&PostgreSqlDialect {}, text).map_err(|error| error.to_string())?;
    statements
        .into_iter()
        .map(|statement| plan(statement, schema))
        .collect()
}

fn plan(mut statement: Statement, schema: &Schema) -> Result<Plan, String> {
    let savepoint = matches!(
        statement,
        Statement::Savepoint { .. }
            | Statement::ReleaseSavepoint { .. }
            | Statement::Rollback {
                savepoint: Some(_),
                ..
            }
    );
    if savepoint {
        return Err("savepoints are not part of the stand-in".into());
    }
    let (action, verb) = classify(&mut statement);
    let mut plan = Plan {
        action,
        text: Box::default(),
        verb,
        sleep: Span::ZERO,
        columns: columns(&statement, schema),
        params: Vec::new(),
    };
    if matches!(plan.action, Action::Read | Action::Lock | Action::Write) {
        translate(&statement.to_string(), schema, &mut plan)?;
        if let Statement::Insert(insert) = &statement {
            infer_from_insert(insert, schema, &mut plan.params);
        }
    }
    Ok(plan)
}

fn classify(statement: &mut Statement) -> (Action, &'static str) {
    match statement {
        Statement::StartTransaction { modes, .. } => (Action::Begin(mode(modes)), "BEGIN"),
        Statement::Commit { .. } => (Action::Commit, "COMMIT"),
        Statement::Rollback { .. } => (Action::Rollback, "ROLLBACK"),
        Statement::Set(set) => (Action::Set(assignment(set)), "SET"),
        Statement::Reset(_) => (Action::Reset, "RESET"),
        Statement::Discard { .. } => (Action::Reset, "DISCARD ALL"),
        Statement::Deallocate { .. } => (Action::Reset, "DEALLOCATE"),
        Statement::ShowVariable { variable } => {
            let name: Vec<String> = variable.iter().map(|part| part.value.clone()).collect();
            (Action::Show(name.join(".").to_lowercase().into()), "SHOW")
        }
        Statement::Query(query) => (query_action(query), "SELECT"),
        Statement::Insert(_) => (Action::Write, "INSERT"),
        Statement::Update(_) => (Action::Write, "UPDATE"),
        Statement::Delete(_) => (Action::Write, "DELETE"),
        Statement::CreateTable(_) => (Action::Write, "CREATE TABLE"),
        Statement::CreateIndex(_) => (Action::Write, "CREATE INDEX"),
        Statement::Drop { .. } => (Action::Write, "DROP TABLE"),
        _ => (Action::Write, "OK"),
    }
}

fn query_action(query: &mut Query) -> Action {
    let locks = !query.locks.is_empty();
    query.locks.clear();
    if locks {
        return Action::Lock;
    }
    match query.body.as_ref() {
        SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) => Action::Write,
        _ => Action::Read,
    }
}

fn mode(modes: &[TransactionMode]) -> Mode {
    let mut mode = Mode::default();
    for stated in modes {
        match stated {
            TransactionMode::AccessMode(access) => {
                mode.read_only = *access == TransactionAccessMode::ReadOnly;
            }
            TransactionMode::IsolationLevel(level) => {
                mode.exclusive = matches!(
                    level,
                    TransactionIsolationLevel::RepeatableRead
                        | TransactionIsolationLevel::Serializable
                );
            }
        }
    }
    mode
}

fn assignment(set: &Set) -> Option<(Box<str>, Box<str>)> {
    let Set::SingleAssignment {
        variable, values, ..
    } = set
    else {
        return None;
    };
    let value = match values.first() {
        Some(Expr::Value(value)) => match &value.value {
            Literal::SingleQuotedString(text) => text.clone(),
            other => other.to_string(),
        },
        Some(other) => other.to_string(),
        None => String::new(),
    };
    let name = variable.to_string().replace('"', "").to_lowercase();
    Some((name.into(), value.into()))
}

fn columns(statement: &Statement, schema: &Schema) -> Vec<Option<Oid>> {
    let items = match statement {
        Statement::Query(query) => match query.body.as_ref() {
            SetExpr::Select(select) => projection(select),
            SetExpr::Insert(Statement::Insert(insert)) => insert.returning.as_deref(),
            _ => None,
        },
        Statement::Insert(insert) => insert.returning.as_deref(),
        Statement::Update(update) => update.returning.as_deref(),
        Statement::Delete(delete) => delete.returning.as_deref(),
        _ => None,
    };
    let typed = |item: &SelectItem| match item {
        SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => {
            Some(type_of(expr, schema))
        }
        _ => None,
    };
    items.unwrap_or_default().iter().map(typed).collect()
}

fn projection(select: &Select) -> Option<&[SelectItem]> {
    Some(&select.projection)
}

/// Infers the type of an expression by the few rules that the tests' statements need; text otherwise.
fn type_of(expr: &Expr, schema: &Schema) -> Oid {
    match expr {
        Expr::Value(value) => match &value.value {
            Literal::Number(..) => value::INT4,
            Literal::Boolean(_) => value::BOOL,
            _ => value::TEXT,
        },
        Expr::Identifier(name) => column_type(&name.value, schema),
        Expr::CompoundIdentifier(parts) => parts
            .last()
            .map_or(value::TEXT, |name| column_type(&name.value, schema)),
        Expr::Nested(inner) => type_of(inner, schema),
        Expr::Cast { data_type, .. } => value::oid_of(&data_type.to_string()),
        Expr::Exists { .. } | Expr::IsNull(_) | Expr::IsNotNull(_) => value::BOOL,
        Expr::Function(function) => match function.name.to_string().to_lowercase().as_str() {
            "count" | "sum" | "length" | "total" => value::INT8,
            _ => value::TEXT,
        },
        Expr::BinaryOp { op, left, .. } => match op.to_string().as_str() {
            "=" | "<" | ">" | "<=" | ">=" | "<>" | "AND" | "OR" => value::BOOL,
            "||" => value::TEXT,
            _ => type_of(left, schema),
        },
        _ => value::TEXT,
    }
}

fn column_type(name: &str, schema: &Schema) -> Oid {
    schema.get(name).copied().unwrap_or(value::TEXT)
}

/// Translates the statement to SQLite: `?1` for `$1`, without `::type` and `pg_sleep`.
fn translate(text: &str, schema: &Schema, plan: &mut Plan) -> Result<(), String> {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, text)
        .tokenize()
        .map_err(|error| error.to_string())?;
    let mut output = String::with_capacity(text.len());
    let mut index = 0;
    while let Some(token) = tokens.get(index) {
        match token {
            Token::DoubleColon => {
                let name = tokens.get(index + 1).map(Token::to_string);
                if let Some(number) = index.checked_sub(1).and_then(|i| placeholder(&tokens[i])) {
                    let oid = value::oid_of(&name.unwrap_or_default());
                    set_param_type(&mut plan.params, number, Some(oid));
                }
                index += 1;
            }
            Token::Placeholder(_) => {
                let number = placeholder(token).ok_or("placeholders are written $1")?;
                set_param_type(
                    &mut plan.params,
                    number,
                    infer_from_context(&tokens[..index], schema),
                );
                output.push_str(&format!("?{number}"));
            }
            Token::Word(word) if word.value.eq_ignore_ascii_case("pg_sleep") => {
                let end = tokens[index..]
                    .iter()
                    .position(|token| *token == Token::RParen)
                    .ok_or("pg_sleep takes one number")?;
                let seconds: String = tokens[index + 1..index + end]
                    .iter()
                    .skip(1)
                    .map(Token::to_string)
                    .collect();
                plan.sleep = sleep_span(&seconds)?;
                output.push_str("''");
                index += end;
            }
            other => output.push_str(&other.to_string()),
        }
        index += 1;
    }
    plan.text = output.into();
    Ok(())
}

/// Parses the argument of `pg_sleep`, in seconds.
fn sleep_span(text: &str) -> Result<Span, String> {
    const MAX_SECS: f64 = 3600.0;
    let seconds: f64 = text
        .trim()
        .parse()
        .map_err(|_| "pg_sleep takes one number")?;
    Ok(Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECS)).into())
}

/// The maximum number of parameters of a statement, as in PostgreSQL.
const MAX_PARAMETERS: usize = 65_535;

fn placeholder(token: &Token) -> Option<usize> {
    let Token::Placeholder(text) = token else {
        return None;
    };
    let number: usize = text.strip_prefix('$')?.parse().ok()?;
    (1..=MAX_PARAMETERS).contains(&number).then_some(number)
}

fn set_param_type(params: &mut Vec<Option<Oid>>, number: usize, oid: Option<Oid>) {
    if params.len() < number {
        params.resize(number, None);
    }
    if oid.is_some() {
        params[number - 1] = oid;
    }
}

/// Infers the next parameter's type: that of the column it is compared with, or an integer after
/// `LIMIT`, `OFFSET`, `+` and `-`.
fn infer_from_context(before: &[Token], schema: &Schema) -> Option<Oid> {
    let mut preceding = before
        .iter()
        .rev()
        .filter(|token| !matches!(token, Token::Whitespace(_)));
    match preceding.next()? {
        Token::Word(word) => ["limit", "offset"]
            .contains(&word.value.to_lowercase().as_str())
            .then_some(value::INT8),
        Token::Eq | Token::Lt | Token::Gt | Token::LtEq | Token::GtEq | Token::Neq => {
            let Token::Word(word) = preceding.next()? else {
                return None;
            };
            schema.get(word.value.as_str()).copied()
        }
        Token::Plus | Token::Minus => Some(value::INT8),
        _ => None,
    }
}

fn infer_from_insert(insert: &Insert, schema: &Schema, params: &mut [Option<Oid>]) {
    let Some(SetExpr::Values(values)) = insert.source.as_deref().map(|query| query.body.as_ref())
    else {
        return;
    };
    for row in &values.rows {
        for (column, expr) in insert.columns.iter().zip(row.iter()) {
            let Expr::Value(value) = expr else { continue };
            let Literal::Placeholder(text) = &value.value else {
                continue;
            };
            let number = text.strip_prefix('$').and_then(|n| n.parse::<usize>().ok());
            let slot = number.and_then(|n| params.get_mut(n.checked_sub(1)?));
            if let Some(slot) = slot
                && slot.is_none()
            {
                *slot = Some(column_type(&column.to_string(), schema));
            }
        }
    }
}
