//! A simple fake of a database at the level of protocol messages.

#![allow(dead_code)]

pub mod core;
pub mod server;

use bytes::{Bytes, BytesMut};
use lentilspoke::core::request::Status;
use lentilspoke::net::frame::{Frame, kind, put, put_raw, split};
use pgwire::error::ErrorInfo;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{CommandComplete, ErrorResponse};
use std::collections::HashMap;

/// One connection's session. It answers a query with one row that holds the query's text, except for
/// transaction control, `INSERT`, and `FAIL`, which fails.
#[derive(Debug)]
pub struct Session {
    pub status: Status,
    /// The statements run and the names prepared, in order.
    pub log: Vec<String>,
    /// Whether preparing a name twice is an error.
    pub strict: bool,
    statements: HashMap<String, String>,
    portals: HashMap<String, String>,
}

impl Default for Session {
    fn default() -> Self {
        Self {
            status: Status::Idle,
            log: Vec::new(),
            strict: false,
            statements: HashMap::new(),
            portals: HashMap::new(),
        }
    }
}

impl Session {
    /// Answers a whole batch, without ReadyForQuery.
    pub fn answer(&mut self, body: Bytes) -> Bytes {
        let mut out = BytesMut::new();
        for frame in split(body).unwrap() {
            if !self.step(&frame, &mut out) {
                if self.status == Status::Open {
                    self.status = Status::Failed;
                }
                break;
            }
        }
        out.freeze()
    }

    /// Answers one message; false if it fails.
    pub fn step(&mut self, frame: &Frame, out: &mut BytesMut) -> bool {
        let mut fields = frame.fields();
        match frame.kind() {
            kind::QUERY => return self.run(fields.text().unwrap(), true, out),
            kind::PARSE => return self.parse(frame, out),
            kind::BIND => return self.bind(frame, out),
            kind::DESCRIBE => {
                let target = fields.byte().unwrap();
                let name = fields.text().unwrap();
                let text = match target {
                    kind::STATEMENT => self.statements[name].clone(),
                    _ => self.portals[name].clone(),
                };
                if target == kind::STATEMENT {
                    put(out, &ParameterDescription::new(vec![]));
                }
                describe(&text, out);
            }
            kind::EXECUTE => {
                let text = self.portals[fields.text().unwrap()].clone();
                return self.run(&text, false, out);
            }
            kind::CLOSE => {
                fields.byte().unwrap();
                self.statements.remove(fields.text().unwrap());
                put(out, &CloseComplete::new());
            }
            _ => {}
        }
        true
    }

    fn parse(&mut self, frame: &Frame, out: &mut BytesMut) -> bool {
        let mut fields = frame.fields();
        let name = fields.text().unwrap().to_owned();
        let text = fields.text().unwrap().to_owned();
        self.log.push(format!("parse {}", text));
        if text.starts_with("FAIL PARSE") {
            put(out, &error("42601"));
            return false;
        }
        let known = self.strict && !name.is_empty() && self.statements.contains_key(&name);
        if known {
            put(out, &error("42P05"));
            return false;
        }
        self.statements.insert(name, text);
        put(out, &ParseComplete::new());
        true
    }

    fn bind(&mut self, frame: &Frame, out: &mut BytesMut) -> bool {
        let mut fields = frame.fields();
        let portal = fields.text().unwrap().to_owned();
        let Some(text) = self.statements.get(fields.text().unwrap()) else {
            put(out, &error("26000"));
            return false;
        };
        self.portals.insert(portal, text.clone());
        put(out, &BindComplete::new());
        true
    }

    fn run(&mut self, text: &str, simple: bool, out: &mut BytesMut) -> bool {
        let ends = text.starts_with("ROLLBACK") || text.starts_with("COMMIT");
        if self.status == Status::Failed && !ends {
            put(out, &error("25P02"));
            return false;
        }
        self.log.push(text.to_owned());
        if text.starts_with("FAIL") {
            put(out, &error("22012"));
            return false;
        }
        let tag = match text.split(' ').next().unwrap_or_default() {
            "BEGIN" | "START" => {
                self.status = Status::Open;
                "BEGIN"
            }
            "COMMIT" | "ROLLBACK" => {
                self.status = Status::Idle;
                "COMMIT"
            }
            "INSERT" => "INSERT 0 1",
            _ => {
                if simple {
                    describe(text, out);
                }
                let mut data = BytesMut::new();
                data.extend_from_slice(&(text.len() as u32).to_be_bytes());
                data.extend_from_slice(text.as_bytes());
                put(out, &DataRow::new(data, 1));
                "SELECT 1"
            }
        };
        put(out, &CommandComplete::new(tag.into()));
        true
    }
}

/// Encodes a simple query.
pub fn query(text: &str) -> Bytes {
    let mut out = BytesMut::new();
    put_raw(&mut out, kind::QUERY, &[text.as_bytes(), &[0]]);
    out.freeze()
}

pub fn error(code: &str) -> ErrorResponse {
    ErrorInfo::new("ERROR".into(), code.into(), format!("fake {code}")).into()
}

fn describe(text: &str, out: &mut BytesMut) {
    let rows = !["BEGIN", "START", "COMMIT", "ROLLBACK", "INSERT"]
        .iter()
        .any(|verb| text.starts_with(verb));
    if !rows {
        return put(out, &NoData::new());
    }
    let field = FieldDescription::new("text".into(), 0, 0, 25, -1, -1, 0);
    put(out, &RowDescription::new(vec![field]));
}
