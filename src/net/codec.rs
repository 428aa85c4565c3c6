//! gRPC codec for calls between proxies: postcard instead of protobuf.
//!
//! The messages are the core's own types, so no second set of types and no generated code are
//! needed. In exchange, both ends of a stream must run the same protocol version, which is
//! checked when a stream opens (`rpc::PROTOCOL`).

use bytes::{Buf, BufMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::marker::PhantomData;
use tonic::Status;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};

/// Codec that encodes `T` and decodes `U`.
#[derive(Debug)]
pub struct Postcard<T, U>(PhantomData<fn(T) -> U>);

impl<T, U> Default for Postcard<T, U> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

impl<T, U> Clone for Postcard<T, U> {
    fn clone(&self) -> Self {
        Self::default()
    }
}

impl<T, U> Codec for Postcard<T, U>
where
    T: Serialize + Send + 'static,
    U: DeserializeOwned + Send + 'static,
{
    type Encode = T;
    type Decode = U;
    type Encoder = Writer<T>;
    type Decoder = Reader<U>;

    fn encoder(&mut self) -> Writer<T> {
        Writer(PhantomData)
    }

    fn decoder(&mut self) -> Reader<U> {
        Reader(PhantomData)
    }
}

/// Encodes messages of type `T`.
#[derive(Debug)]
pub struct Writer<T>(PhantomData<fn(T)>);

impl<T: Serialize + Send + 'static> Encoder for Writer<T> {
    type Item = T;
    type Error = Status;

    fn encode(&mut self, item: T, buffer: &mut EncodeBuf<'_>) -> Result<(), Status> {
        postcard::to_io(&item, buffer.writer())
            .map(drop)
            .map_err(|error| Status::internal(format!("message can't be encoded: {error}")))
    }
}

/// Decodes messages of type `U`.
#[derive(Debug)]
pub struct Reader<U>(PhantomData<fn() -> U>);

impl<U: DeserializeOwned + Send + 'static> Decoder for Reader<U> {
    type Item = U;
    type Error = Status;

    fn decode(&mut self, buffer: &mut DecodeBuf<'_>) -> Result<Option<U>, Status> {
        let bytes = buffer.copy_to_bytes(buffer.remaining());
        postcard::from_bytes(&bytes).map(Some).map_err(|error| {
            Status::invalid_argument(format!(
                "message can't be decoded: {error}; run the same version at both ends"
            ))
        })
    }
}
