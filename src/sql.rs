//! Classification of a caller's SQL by its text: which statements only read, and which are refused.
//!
//! A read classified as a write is not run on a replica. A write classified as a read would be
//! refused by the replica and sent on to the primary. Therefore everything that is not known to only
//! read counts as a write: unknown functions, locking clauses, text that is not SQL.
//!
//! The SQL library's tokenizer is enough for that: a query writes by certain keywords or by calling
//! a function, and both are tokens. The library's parser would cost three times as much and classify
//! some reads as writes, because it does not support all of PostgreSQL's syntax. Neither detects a
//! view or an operator whose function writes.
//!
//! Connections are pooled by transaction. Statements that would leave session state on a connection
//! are refused ([`Refused`]), because it would affect the connection's next caller.

mod query;
mod setting;

pub use setting::Setting;

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer};

/// The longest text that is classified, in bytes. Classification blocks the process's one thread
/// for about 6 ns a byte. Long values can be sent as parameters instead.
pub const TEXT_LIMIT: usize = 256 * 1024;

/// The text of one query message: its statements in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// The statements. Empty for an empty query.
    pub statements: Vec<Statement>,
}

/// What one statement does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// It only reads.
    Read,
    /// It may write.
    Write,
    /// It opens a transaction that may write.
    Begin,
    /// It opens a transaction that only reads.
    BeginRead,
    /// It ends a transaction.
    End,
    /// It takes effect only within a transaction, such as `SAVEPOINT` or `SET LOCAL`.
    Inside,
    /// It sets a setting of the proxy, or resets it (`None`). The proxy answers it.
    Set(Setting, Option<Box<str>>),
    /// It queries a setting of the proxy. The proxy answers it.
    Show(Setting),
    /// It sets a value that every connection has already. The proxy answers it.
    Accepted,
    /// It must not run on a pooled connection.
    Refused(Refused),
}

/// Why a statement is refused. The message names the remedy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// A session-level `SET`, `RESET` or `set_config`.
    #[error(
        "a session setting does not last on a pooled connection: use SET LOCAL in a transaction"
    )]
    Set,
    /// `LISTEN` or `UNLISTEN`.
    #[error("LISTEN needs a connection of its own: connect to the database directly")]
    Listen,
    /// A temporary table or another object of the session.
    #[error("temporary objects do not last on a pooled connection: use a table, or WITH")]
    Temporary,
    /// A session-level advisory lock.
    #[error("session locks do not last on a pooled connection: use pg_advisory_xact_lock")]
    Lock,
    /// SQL-level `PREPARE`, `EXECUTE` or `DEALLOCATE`.
    #[error("PREPARE does not last on a pooled connection: use the protocol's prepared statements")]
    Prepare,
    /// A cursor that outlives its transaction.
    #[error("a cursor WITH HOLD does not last on a pooled connection: fetch it in the transaction")]
    Cursor,
    /// `DISCARD` or `LOAD`.
    #[error("the session of a pooled connection belongs to the proxy: leave the statement out")]
    Session,
    /// `COPY`.
    #[error(
        "COPY is not supported: use INSERT with parameters, or connect to the database directly"
    )]
    Copy,
    /// Two-phase commit.
    #[error("two-phase commit is not supported: use COMMIT")]
    TwoPhase,
    /// A statement that starts with `LENTIL`, which the proxy reserves.
    #[error("this statement is reserved to the proxy: leave it out")]
    Reserved,
    /// The text is too long to analyse.
    #[error("the statement's text is longer than 256 KiB: send the values as parameters")]
    Long,
    /// A setting that the proxy does not have.
    #[error(
        "no such setting: use lentilspoke.session, lentilspoke.max_age, lentilspoke.request or lentilspoke.token"
    )]
    Setting,
}

impl Refused {
    /// The SQLSTATE: `statement_too_complex`, `undefined_object` or `feature_not_supported`.
    pub fn code(self) -> &'static str {
        match self {
            Self::Long => "54001",
            Self::Setting => "42704",
            _ => "0A000",
        }
    }
}

impl Script {
    /// Classifies the text of one query message.
    pub fn read(text: &str) -> Self {
        if text.len() > TEXT_LIMIT {
            return Self::of(Statement::Refused(Refused::Long));
        }
        let tokens = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize();
        let Ok(mut tokens) = tokens else {
            return Self::of(Statement::Write);
        };
        tokens.retain(|token| !matches!(token, Token::Whitespace(_) | Token::EOF));
        let statements = tokens
            .split(|token| *token == Token::SemiColon)
            .filter(|tokens| !tokens.is_empty())
            .map(classify)
            .collect();
        Self { statements }
    }

    fn of(statement: Statement) -> Self {
        Self {
            statements: vec![statement],
        }
    }

    /// Why the script is refused, if any of its statements is.
    pub fn refused(&self) -> Option<Refused> {
        self.statements
            .iter()
            .find_map(|statement| match statement {
                Statement::Refused(refused) => Some(*refused),
                _ => None,
            })
    }

    /// Whether the proxy answers all statements without a database.
    pub fn local(&self) -> bool {
        self.statements.iter().all(Statement::local)
    }
}

impl Statement {
    /// Whether the proxy answers the statement without a database.
    pub fn local(&self) -> bool {
        matches!(self, Self::Set(..) | Self::Show(_) | Self::Accepted)
    }
}

/// The text of an unquoted word; empty for other tokens, quoted identifiers included.
fn word(token: Option<&Token>) -> &str {
    match token {
        Some(Token::Word(word)) if word.quote_style.is_none() => &word.value,
        _ => "",
    }
}

/// Whether a token is this keyword, in any case.
fn is(token: Option<&Token>, keyword: &str) -> bool {
    word(token).eq_ignore_ascii_case(keyword)
}

/// Whether any of the keywords is among the tokens.
fn has(tokens: &[Token], keywords: &[&str]) -> bool {
    let one = |token| keywords.iter().any(|keyword| is(Some(token), keyword));
    tokens.iter().any(one)
}

/// Whether the two keywords are adjacent anywhere in the tokens.
fn has_pair(tokens: &[Token], first: &str, second: &str) -> bool {
    tokens
        .windows(2)
        .any(|pair| is(pair.first(), first) && is(pair.last(), second))
}

fn classify(tokens: &[Token]) -> Statement {
    let second = |keyword| is(tokens.get(1), keyword);
    match word(tokens.first()).to_ascii_uppercase().as_str() {
        "SELECT" | "WITH" | "VALUES" | "TABLE" => query::classify(tokens),
        "" if tokens.first() == Some(&Token::LParen) => query::classify(tokens),
        "EXPLAIN" => query::explain(tokens),
        "BEGIN" => begin(tokens),
        "START" if second("TRANSACTION") => begin(tokens),
        "COMMIT" | "ROLLBACK" if second("PREPARED") => Statement::Refused(Refused::TwoPhase),
        "ROLLBACK" if has(tokens, &["TO"]) => Statement::Inside,
        "COMMIT" | "END" | "ROLLBACK" | "ABORT" => Statement::End,
        "SAVEPOINT" | "RELEASE" | "FETCH" | "MOVE" | "CLOSE" => Statement::Inside,
        "SET" | "RESET" | "SHOW" => setting::classify(tokens),
        "LISTEN" | "UNLISTEN" => Statement::Refused(Refused::Listen),
        "PREPARE" if second("TRANSACTION") => Statement::Refused(Refused::TwoPhase),
        "PREPARE" | "EXECUTE" | "DEALLOCATE" => Statement::Refused(Refused::Prepare),
        "DISCARD" | "LOAD" => Statement::Refused(Refused::Session),
        "COPY" => Statement::Refused(Refused::Copy),
        "LENTIL" => Statement::Refused(Refused::Reserved),
        "DECLARE" if has_pair(tokens, "WITH", "HOLD") => Statement::Refused(Refused::Cursor),
        "DECLARE" => Statement::Inside,
        _ => write(tokens),
    }
}

fn begin(tokens: &[Token]) -> Statement {
    if has_pair(tokens, "READ", "ONLY") {
        Statement::BeginRead
    } else {
        Statement::Begin
    }
}

/// The number of first words that may include `TEMP`, as in `CREATE OR REPLACE LOCAL TEMP VIEW`.
const CREATE_WORDS: usize = 5;

/// Classifies other statements as writes, unless they create or change session state.
fn write(tokens: &[Token]) -> Statement {
    let start = &tokens[..tokens.len().min(CREATE_WORDS)];
    if is(tokens.first(), "CREATE") && has(start, &["TEMP", "TEMPORARY"]) {
        return Statement::Refused(Refused::Temporary);
    }
    query::session_state(tokens).map_or(Statement::Write, Statement::Refused)
}
