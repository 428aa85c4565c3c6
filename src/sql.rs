//! What a caller's SQL does, as far as its text tells.
//!
//! A wrong guess toward "write" costs a replica's read; a wrong guess toward "read" would be
//! refused by the replica and sent on to the primary. So everything that is not known to only
//! read counts as a write: unknown functions, locking clauses, text that is not SQL.
//!
//! The library's tokens are enough for that: a query writes by certain keywords or by calling a
//! function, and both show in them. Its parser would cost three times as much and take some
//! reads for writes, because it does not know all of PostgreSQL's syntax. What neither can see
//! is a view or an operator whose function writes.
//!
//! Connections are pooled by transaction. Statements that would leave something behind on a
//! connection ([`Refused`]) are refused, because the next caller would meet it.

mod query;
mod setting;

pub use setting::Setting;

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer};

/// The longest text that is analysed, in bytes. Classification blocks the process's one thread
/// for about 6 ns a byte; values of any length can be sent as parameters instead.
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
    /// It has an effect within a transaction only, such as `SAVEPOINT` or `SET LOCAL`.
    Inside,
    /// It sets a setting of the proxy, or takes it back. The proxy answers it.
    Set(Setting, Option<Box<str>>),
    /// It asks for a setting of the proxy. The proxy answers it.
    Show(Setting),
    /// It sets what every connection has anyway. The proxy answers it.
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
    /// A lock that belongs to the session.
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
    /// A statement of the proxy's own dialect.
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

    /// Whether the proxy answers all of it itself.
    pub fn local(&self) -> bool {
        self.statements.iter().all(Statement::local)
    }
}

impl Statement {
    /// Whether the proxy answers it itself.
    pub fn local(&self) -> bool {
        matches!(self, Self::Set(..) | Self::Show(_) | Self::Accepted)
    }
}

/// A token as a bare word; empty for anything else, quoted identifiers included.
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

/// Whether one of these keywords is among the tokens.
fn has(tokens: &[Token], keywords: &[&str]) -> bool {
    let one = |token| keywords.iter().any(|keyword| is(Some(token), keyword));
    tokens.iter().any(one)
}

/// Whether these keywords follow each other somewhere.
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

/// `TEMP` stands among the first words, as in `CREATE OR REPLACE LOCAL TEMP VIEW`.
const CREATE_WORDS: usize = 5;

/// A statement that writes, unless it makes something that belongs to the session.
fn write(tokens: &[Token]) -> Statement {
    let start = &tokens[..tokens.len().min(CREATE_WORDS)];
    if is(tokens.first(), "CREATE") && has(start, &["TEMP", "TEMPORARY"]) {
        return Statement::Refused(Refused::Temporary);
    }
    query::session_state(tokens).map_or(Statement::Write, Statement::Refused)
}
