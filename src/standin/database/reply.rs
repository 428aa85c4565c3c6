//! Encodes the database's protocol messages and buffers them until they are sent.

use super::store::{Failure, Rows};
use super::value::{self, Oid};
use crate::core::database::{Refusal, State};
use crate::core::request::Status;
use crate::net::dialect::{self, Mark};
use bytes::{Bytes, BytesMut};
use pgwire::messages::Message;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};

/// The name and type of a result column.
#[derive(Debug, Clone)]
pub(super) struct Column {
    pub(super) name: Box<str>,
    pub(super) oid: Oid,
}

/// A buffer of encoded messages to send.
#[derive(Debug, Default)]
pub(super) struct Reply {
    bytes: BytesMut,
}

impl Reply {
    /// Returns the buffered bytes and empties the buffer.
    pub(super) fn take(&mut self) -> Bytes {
        self.bytes.split().freeze()
    }

    fn push<M: Message>(&mut self, message: &M) {
        if let Err(error) = message.encode(&mut self.bytes) {
            log::error!(error:% = error; "stand-in database could not encode its answer");
        }
    }

    pub(super) fn authenticated(&mut self, pid: i32, secret: i32) {
        self.push(&Authentication::Ok);
        for (name, value) in [
            ("server_version", "16.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ] {
            self.parameter(name, value);
        }
        self.push(&BackendKeyData::new(pid, SecretKey::I32(secret)));
    }

    pub(super) fn parameter(&mut self, name: &str, value: &str) {
        self.push(&ParameterStatus::new(name.into(), value.into()));
    }

    pub(super) fn mark(&mut self, mark: Mark) {
        let (name, value) = mark.parameter();
        self.parameter(name, &value);
    }

    pub(super) fn ready(&mut self, status: Status) {
        let status = match status {
            Status::Idle => TransactionStatus::Idle,
            Status::Open => TransactionStatus::Transaction,
            Status::Failed => TransactionStatus::Error,
        };
        self.push(&ReadyForQuery::new(status));
    }

    pub(super) fn parse_complete(&mut self) {
        self.push(&ParseComplete::new());
    }

    pub(super) fn bind_complete(&mut self) {
        self.push(&BindComplete::new());
    }

    pub(super) fn close_complete(&mut self) {
        self.push(&CloseComplete::new());
    }

    pub(super) fn empty_query(&mut self) {
        self.push(&EmptyQueryResponse::new());
    }

    pub(super) fn complete(&mut self, tag: String) {
        self.push(&CommandComplete::new(tag));
    }

    pub(super) fn failure(&mut self, failure: &Failure) {
        let mut fields = vec![
            (b'S', "ERROR".into()),
            (b'V', "ERROR".into()),
            (b'C', failure.code.into()),
            (b'M', failure.message.clone().into()),
        ];
        if let Some(detail) = &failure.detail {
            fields.push((b'D', detail.clone().into()));
        }
        self.push(&ErrorResponse::new(fields));
    }

    pub(super) fn parameters(&mut self, oids: Vec<Oid>) {
        self.push(&ParameterDescription::new(oids));
    }

    pub(super) fn columns(&mut self, columns: &[Column], formats: &[i16]) {
        if columns.is_empty() {
            self.push(&NoData::new());
            return;
        }
        let field = |(index, column): (usize, &Column)| {
            FieldDescription::new(
                column.name.clone().into(),
                0,
                0,
                column.oid,
                value::size_of(column.oid),
                -1,
                format_of(formats, index),
            )
        };
        let fields = columns.iter().enumerate().map(field).collect();
        self.push(&RowDescription::new(fields));
    }

    pub(super) fn rows(&mut self, rows: &Rows, columns: &[Column], formats: &[i16]) {
        for row in &rows.rows {
            let mut data = BytesMut::new();
            for (index, value) in row.iter().enumerate() {
                let oid = columns.get(index).map_or(value::TEXT, |column| column.oid);
                value::write(&mut data, oid, format_of(formats, index), value);
            }
            let count = i16::try_from(row.len()).unwrap_or(i16::MAX);
            self.push(&DataRow::new(data, count));
        }
    }

    /// Adds the answer to an order: the database's state as one row.
    pub(super) fn state(&mut self, state: &State) {
        let column = Column {
            name: dialect::STATE_COLUMN.into(),
            oid: value::TEXT,
        };
        let text = rusqlite::types::Value::Text(dialect::encode_state(state));
        let rows = Rows {
            rows: vec![vec![text]],
            ..Rows::default()
        };
        self.columns(std::slice::from_ref(&column), &[]);
        self.rows(&rows, &[column], &[]);
        self.complete(dialect::TAG.into());
    }
}

/// Returns the format code of a column: `formats` holds one code for all columns, one for each, or
/// none, which means text.
pub(super) fn format_of(formats: &[i16], index: usize) -> i16 {
    match formats {
        [all] => *all,
        each => each.get(index).copied().unwrap_or(0),
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        let fault = dialect::encode_refusal(refusal);
        Self {
            code: fault.code,
            message: fault.message,
            detail: fault.detail,
        }
    }
}
