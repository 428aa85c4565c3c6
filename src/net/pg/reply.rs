//! Answers that the proxy makes itself.

use super::fault::Fault;
use super::settings::Settings;
use crate::core::request::Status;
use crate::net::frame::{encode, put};
use crate::net::splice::{Expect, Step};
use crate::sql::{Script, Setting, Statement};
use bytes::{Bytes, BytesMut};
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ReadyForQuery, TransactionStatus,
};

const TEXT_OID: u32 = 25;
const VARIABLE_SIZE: i16 = -1;
const NO_MODIFIER: i32 = -1;
const TEXT_FORMAT: i16 = 0;

/// ParseComplete.
pub fn parse_complete() -> Bytes {
    encode(&ParseComplete::new())
}

/// BindComplete.
pub fn bind_complete() -> Bytes {
    encode(&BindComplete::new())
}

/// CloseComplete.
pub fn close_complete() -> Bytes {
    encode(&CloseComplete::new())
}

/// ReadyForQuery.
pub fn ready(status: Status) -> ReadyForQuery {
    ReadyForQuery::new(match status {
        Status::Idle => TransactionStatus::Idle,
        Status::Open => TransactionStatus::Transaction,
        Status::Failed => TransactionStatus::Error,
    })
}

/// The description of a statement that the proxy executes itself.
pub fn describe_statement(script: &Script) -> Bytes {
    let mut out = BytesMut::new();
    put(&mut out, &ParameterDescription::new(Vec::new()));
    out.extend_from_slice(&describe_portal(script));
    out.freeze()
}

/// The description of a portal of such a statement.
pub fn describe_portal(script: &Script) -> Bytes {
    match script.statements.last() {
        Some(Statement::Show(setting)) => encode(&columns(*setting)),
        _ => encode(&NoData::new()),
    }
}

/// The answer to a simple query of statements that the proxy executes itself.
pub fn simple(statements: &[Statement], settings: &mut Settings) -> Result<Bytes, Fault> {
    let mut out = BytesMut::new();
    if statements.is_empty() {
        put(&mut out, &EmptyQueryResponse::new());
    }
    for statement in statements {
        if let Statement::Show(setting) = statement {
            put(&mut out, &columns(*setting));
        }
        perform(statement, settings, &mut out)?;
    }
    Ok(out.freeze())
}

/// The answer to an Execute of such statements in the extended protocol.
pub fn execute(statements: &[Statement], settings: &mut Settings) -> Result<Bytes, Fault> {
    let mut out = BytesMut::new();
    for statement in statements {
        perform(statement, settings, &mut out)?;
    }
    Ok(out.freeze())
}

fn perform(
    statement: &Statement,
    settings: &mut Settings,
    out: &mut BytesMut,
) -> Result<(), Fault> {
    let tag = match statement {
        Statement::Set(setting, value) => {
            settings.set(*setting, value.as_deref())?;
            "SET"
        }
        Statement::Show(setting) => {
            put(out, &row(&settings.show(*setting)));
            "SHOW"
        }
        _ => "SET",
    };
    put(out, &CommandComplete::new(tag.to_owned()));
    Ok(())
}

/// The answer to the rollback of a transaction that no longer exists in any database.
pub fn rolled_back(steps: &[Step]) -> Bytes {
    let mut out = BytesMut::new();
    for step in steps {
        match step {
            Step::Pass(Expect::Parse) => put(&mut out, &ParseComplete::new()),
            Step::Pass(Expect::Bind) => put(&mut out, &BindComplete::new()),
            Step::Pass(Expect::Close) => put(&mut out, &CloseComplete::new()),
            Step::Pass(Expect::Describe) => {
                put(&mut out, &ParameterDescription::new(Vec::new()));
                put(&mut out, &NoData::new());
            }
            Step::Pass(Expect::DescribePortal) => put(&mut out, &NoData::new()),
            Step::Pass(Expect::Execute | Expect::Query) => {
                put(&mut out, &CommandComplete::new("ROLLBACK".to_owned()));
            }
            Step::Insert(bytes) => out.extend_from_slice(bytes),
            Step::Drop(_) => {}
        }
    }
    out.freeze()
}

fn columns(setting: Setting) -> RowDescription {
    RowDescription::new(vec![FieldDescription::new(
        setting.to_string(),
        0,
        0,
        TEXT_OID,
        VARIABLE_SIZE,
        NO_MODIFIER,
        TEXT_FORMAT,
    )])
}

fn row(value: &str) -> DataRow {
    let mut data = BytesMut::new();
    let length = u32::try_from(value.len()).unwrap_or_default();
    data.extend_from_slice(&length.to_be_bytes());
    data.extend_from_slice(value.as_bytes());
    DataRow::new(data, 1)
}
