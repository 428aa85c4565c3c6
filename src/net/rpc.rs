//! gRPC services with one typed call or stream each, built on tonic's lower-level types.
//!
//! tonic's generator would write about the same few lines; writing them by hand avoids a
//! generation step.

use crate::net::codec::Postcard;
use futures_util::future::BoxFuture;
use http::uri::PathAndQuery;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio_stream::Stream;
use tonic::body::Body;
use tonic::client::Grpc as Client;
use tonic::codegen::{Body as HttpBody, StdError};
use tonic::server::{Grpc as Server, NamedService, StreamingService, UnaryService};
use tonic::transport::Channel;
use tonic::{IntoStreamingRequest, Request, Response, Status, Streaming};

/// The version of the messages between lentilspoke processes, sent when a stream opens.
pub const PROTOCOL: u32 = 1;

/// The largest message that a process accepts from another, in bytes. A statement's answer may
/// be up to a quarter of it.
pub const MESSAGE_LIMIT: usize = 64 << 20;

const CALL: &str = "/lentilspoke/call";
const STREAM: &str = "/lentilspoke/stream";

type Answer<A> = Result<Response<A>, Status>;
type Handler<Q, A> = Arc<dyn Fn(Request<Q>) -> BoxFuture<'static, Answer<A>> + Send + Sync>;

/// The messages that a stream's handler sends back.
pub type Answers<A> = std::pin::Pin<Box<dyn Stream<Item = Result<A, Status>> + Send>>;

/// A gRPC service that answers calls or streams of one type.
pub struct Service<Q, A, F> {
    handler: F,
    types: std::marker::PhantomData<fn(Q) -> A>,
}

impl<Q, A, F: Clone> Clone for Service<Q, A, F> {
    fn clone(&self) -> Self {
        Self {
            handler: self.handler.clone(),
            types: std::marker::PhantomData,
        }
    }
}

impl<Q, A, F> std::fmt::Debug for Service<Q, A, F> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Service").finish_non_exhaustive()
    }
}

impl<Q, A, F> NamedService for Service<Q, A, F> {
    const NAME: &'static str = "lentilspoke";
}

/// The handler of a unary service.
pub struct Unary<Q, A>(Handler<Q, A>);

impl<Q, A> Clone for Unary<Q, A> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// The handler of a streaming service.
pub struct Duplex<Q, A>(Handler<Streaming<Q>, Answers<A>>);

impl<Q, A> Clone for Duplex<Q, A> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

macro_rules! opaque_debug {
    ($name:ident) => {
        impl<Q, A> std::fmt::Debug for $name<Q, A> {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.debug_struct(stringify!($name)).finish_non_exhaustive()
            }
        }
    };
}

opaque_debug!(Unary);
opaque_debug!(Duplex);

/// A service that answers each call with `handler`.
pub fn unary<Q, A, F, R>(handler: F) -> Service<Q, A, Unary<Q, A>>
where
    F: Fn(Q) -> R + Send + Sync + 'static,
    R: Future<Output = Result<A, Status>> + Send + 'static,
{
    let handler = move |request: Request<Q>| -> BoxFuture<'static, _> {
        let answer = handler(request.into_inner());
        Box::pin(async move { answer.await.map(Response::new) })
    };
    Service {
        handler: Unary(Arc::new(handler)),
        types: std::marker::PhantomData,
    }
}

/// A service that passes each incoming stream to `handler`, which returns the stream of answers.
pub fn duplex<Q, A, F, R>(handler: F) -> Service<Q, A, Duplex<Q, A>>
where
    F: Fn(Request<Streaming<Q>>) -> R + Send + Sync + 'static,
    R: Future<Output = Answer<Answers<A>>> + Send + 'static,
{
    let handler = move |request: Request<Streaming<Q>>| -> BoxFuture<'static, _> {
        Box::pin(handler(request))
    };
    Service {
        handler: Duplex(Arc::new(handler)),
        types: std::marker::PhantomData,
    }
}

impl<Q, A> UnaryService<Q> for Unary<Q, A>
where
    Q: Send + 'static,
    A: Send + 'static,
{
    type Response = A;
    type Future = BoxFuture<'static, Result<Response<A>, Status>>;

    fn call(&mut self, request: Request<Q>) -> Self::Future {
        (self.0)(request)
    }
}

impl<Q, A> StreamingService<Q> for Duplex<Q, A>
where
    Q: Send + 'static,
    A: Send + 'static,
{
    type Response = A;
    type ResponseStream = Answers<A>;
    type Future = BoxFuture<'static, Result<Response<Answers<A>>, Status>>;

    fn call(&mut self, request: Request<Streaming<Q>>) -> Self::Future {
        (self.0)(request)
    }
}

macro_rules! http_service {
    ($handler:ident, $path:ident, $method:ident) => {
        impl<Q, A, B> tower_service::Service<http::Request<B>> for Service<Q, A, $handler<Q, A>>
        where
            Q: DeserializeOwned + Send + 'static,
            A: Serialize + Send + 'static,
            B: HttpBody + Send + 'static,
            B::Error: Into<StdError> + Send + 'static,
        {
            type Response = http::Response<Body>;
            type Error = Infallible;
            type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

            fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
                Poll::Ready(Ok(()))
            }

            fn call(&mut self, request: http::Request<B>) -> Self::Future {
                let handler = self.handler.clone();
                Box::pin(async move {
                    if request.uri().path() != $path {
                        return Ok(Status::unimplemented("no such call").into_http());
                    }
                    let mut server = Server::new(Postcard::<A, Q>::default())
                        .max_decoding_message_size(MESSAGE_LIMIT)
                        .max_encoding_message_size(MESSAGE_LIMIT);
                    Ok(server.$method(handler, request).await)
                })
            }
        }
    };
}

http_service!(Unary, CALL, unary);
http_service!(Duplex, STREAM, streaming);

/// A client of `channel`, returned once the channel is ready for a call.
async fn client(channel: Channel) -> Result<Client<Channel>, Status> {
    let mut client = Client::new(channel)
        .max_decoding_message_size(MESSAGE_LIMIT)
        .max_encoding_message_size(MESSAGE_LIMIT);
    let ready = client.ready().await;
    ready.map_err(|error| Status::unavailable(error.to_string()))?;
    Ok(client)
}

/// Makes one call.
pub async fn call<Q, A>(channel: Channel, question: Q) -> Result<A, Status>
where
    Q: Serialize + Send + Sync + 'static,
    A: DeserializeOwned + Send + Sync + 'static,
{
    let mut client = client(channel).await?;
    let codec = Postcard::<Q, A>::default();
    let path = PathAndQuery::from_static(CALL);
    Ok(client
        .unary(Request::new(question), path, codec)
        .await?
        .into_inner())
}

/// Opens a stream that sends `messages`. Returns the peer's initial metadata and its messages.
pub async fn open<Q, A, M>(channel: Channel, messages: M) -> Answer<Streaming<A>>
where
    Q: Serialize + Send + Sync + 'static,
    A: DeserializeOwned + Send + Sync + 'static,
    M: IntoStreamingRequest<Message = Q>,
{
    let mut client = client(channel).await?;
    let codec = Postcard::<Q, A>::default();
    let path = PathAndQuery::from_static(STREAM);
    client
        .streaming(messages.into_streaming_request(), path, codec)
        .await
}
