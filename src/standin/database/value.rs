//! Converts values between the PostgreSQL protocol, in text or binary format, and SQLite.

use bytes::{BufMut, Bytes, BytesMut};
use rusqlite::types::Value;

/// A PostgreSQL type by its object id.
pub(super) type Oid = u32;

pub(super) const BOOL: Oid = 16;
pub(super) const BYTEA: Oid = 17;
pub(super) const INT8: Oid = 20;
pub(super) const INT2: Oid = 21;
pub(super) const INT4: Oid = 23;
pub(super) const TEXT: Oid = 25;

/// The format code of binary values.
pub(super) const BINARY: i16 = 1;

/// Returns the type with this SQL name; text for any other name.
pub(super) fn oid_of(name: &str) -> Oid {
    match name.to_lowercase().as_str() {
        "bool" | "boolean" => BOOL,
        "bytea" | "blob" => BYTEA,
        "int8" | "bigint" => INT8,
        "int2" | "smallint" => INT2,
        "int4" | "int" | "integer" => INT4,
        _ => TEXT,
    }
}

/// Returns the length in bytes that the protocol states for a type; -1 if it varies.
pub(super) fn size_of(oid: Oid) -> i16 {
    match oid {
        BOOL => 1,
        INT2 => 2,
        INT4 => 4,
        INT8 => 8,
        _ => -1,
    }
}

/// Decodes a parameter; `None` if its bytes are not valid for its type.
pub(super) fn read(oid: Oid, format: i16, bytes: Option<&Bytes>) -> Option<Value> {
    let Some(bytes) = bytes else {
        return Some(Value::Null);
    };
    if format == BINARY {
        return read_binary(oid, bytes);
    }
    let text = std::str::from_utf8(bytes).ok()?;
    match oid {
        INT2 | INT4 | INT8 => text.trim().parse().ok().map(Value::Integer),
        BOOL => Some(Value::Integer(
            ["t", "true", "1", "on", "yes"].contains(&text).into(),
        )),
        BYTEA => read_hex(text).map(Value::Blob),
        _ => Some(Value::Text(text.into())),
    }
}

fn read_binary(oid: Oid, bytes: &[u8]) -> Option<Value> {
    let integer = match oid {
        BOOL => i64::from(*bytes.first()?),
        INT2 => i64::from(i16::from_be_bytes(bytes.try_into().ok()?)),
        INT4 => i64::from(i32::from_be_bytes(bytes.try_into().ok()?)),
        INT8 => i64::from_be_bytes(bytes.try_into().ok()?),
        BYTEA => return Some(Value::Blob(bytes.into())),
        _ => return String::from_utf8(bytes.into()).ok().map(Value::Text),
    };
    Some(Value::Integer(integer))
}

fn read_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.strip_prefix("\\x")?;
    let pairs = digits.as_bytes().chunks(2);
    pairs
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}

/// Appends a column value to a row, preceded by its length.
pub(super) fn write(row: &mut BytesMut, oid: Oid, format: i16, value: &Value) {
    if matches!(value, Value::Null) {
        row.put_i32(-1);
        return;
    }
    let start = row.len();
    row.put_i32(0);
    if format == BINARY {
        write_binary(row, oid, value);
    } else {
        write_text(row, oid, value);
    }
    let length = i32::try_from(row.len() - start - size_of::<i32>()).unwrap_or(i32::MAX);
    row[start..start + size_of::<i32>()].copy_from_slice(&length.to_be_bytes());

    const fn size_of<T>() -> usize {
        std::mem::size_of::<T>()
    }
}

fn write_binary(row: &mut BytesMut, oid: Oid, value: &Value) {
    let integer = match value {
        Value::Integer(integer) => *integer,
        Value::Real(real) => *real as i64,
        Value::Text(text) => text.parse().unwrap_or_default(),
        _ => 0,
    };
    match oid {
        BOOL => row.put_u8((integer != 0).into()),
        INT2 => row.put_i16(integer as i16),
        INT4 => row.put_i32(integer as i32),
        INT8 => row.put_i64(integer),
        _ => write_text(row, TEXT, value),
    }
}

fn write_text(row: &mut BytesMut, oid: Oid, value: &Value) {
    match value {
        Value::Null => {}
        Value::Integer(integer) if oid == BOOL => {
            row.put_u8(if *integer == 0 { b'f' } else { b't' });
        }
        Value::Integer(integer) => row.put_slice(integer.to_string().as_bytes()),
        Value::Real(real) => row.put_slice(real.to_string().as_bytes()),
        Value::Text(text) => row.put_slice(text.as_bytes()),
        Value::Blob(bytes) if oid == BYTEA => {
            row.put_slice(b"\\x");
            for byte in bytes {
                row.put_slice(format!("{byte:02x}").as_bytes());
            }
        }
        Value::Blob(bytes) => row.put_slice(bytes),
    }
}
