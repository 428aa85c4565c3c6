//! A minimal HTTP server and client for operators' tools and metrics scrapers.

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// The largest accepted body, in bytes. A configuration of 1,200 databases has about 250 KB.
pub const BODY_LIMIT: usize = 16 << 20;

/// How long a client waits for a complete answer.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// How many connections are served at once; a scraper and an operator need only a few.
pub const CONNECTION_LIMIT: usize = 64;

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened.
    #[error("{0} can't be reached: {1}; check the address and that the process runs")]
    Connect(SocketAddr, std::io::Error),
    /// The connection broke before the answer was complete.
    #[error("{0} broke off its answer: {1}; ask again")]
    Broken(SocketAddr, Box<dyn std::error::Error + Send + Sync>),
    /// No complete answer came within [`EXCHANGE_TIMEOUT`].
    #[error("{0} did not answer in time; ask again")]
    Late(SocketAddr),
}

/// One request whose body has been read.
#[derive(Debug)]
pub struct Call {
    /// GET or POST.
    pub method: Method,
    /// The path, with its query.
    pub path: Box<str>,
    /// The body.
    pub body: Bytes,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body, in UTF-8.
    pub body: Bytes,
}

impl Reply {
    /// An answer with this status and body.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            body: body.into(),
        }
    }
}

/// Serves the connections of `listener` with `handler`, until it is dropped.
pub async fn serve<H, R>(listener: TcpListener, handler: H)
where
    H: Fn(Call) -> R + 'static,
    R: Future<Output = Reply> + 'static,
{
    let handler = Rc::new(handler);
    let open = Arc::new(tokio::sync::Semaphore::new(CONNECTION_LIMIT));
    loop {
        let Ok(permit) = Arc::clone(&open).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = Rc::clone(&handler);
                actix_rt::spawn(async move {
                    connection(stream, handler).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("could not accept an operator's connection: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn connection<H, R>(stream: TcpStream, handler: Rc<H>)
where
    H: Fn(Call) -> R + 'static,
    R: Future<Output = Reply> + 'static,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = Rc::clone(&handler);
        async move {
            let reply = match read(request).await {
                Ok(call) => handler(call).await,
                Err(reply) => reply,
            };
            let mut response = Response::new(Full::new(reply.body));
            *response.status_mut() = reply.status;
            Ok::<_, Infallible>(response)
        }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("an operator's connection failed: {error}");
    }
}

async fn read(request: Request<Incoming>) -> Result<Call, Reply> {
    let method = request.method().clone();
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .into();
    let body = Limited::new(request.into_body(), BODY_LIMIT)
        .collect()
        .await;
    let body = body.map_err(|error| Reply::new(StatusCode::BAD_REQUEST, error.to_string()))?;
    Ok(Call {
        method,
        path,
        body: body.to_bytes(),
    })
}

/// Sends a GET request for `path` to `address`.
pub async fn get(address: SocketAddr, path: &str) -> Result<Reply, Error> {
    exchange(address, Method::GET, path, Bytes::new()).await
}

/// Sends a POST request with `body` for `path` to `address`.
pub async fn post(address: SocketAddr, path: &str, body: Bytes) -> Result<Reply, Error> {
    exchange(address, Method::POST, path, body).await
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Reply, Error> {
    let exchange = async {
        let connected = TcpStream::connect(address).await;
        let stream = connected.map_err(|error| Error::Connect(address, error))?;
        send(stream, address, method, path, body)
            .await
            .map_err(|error| Error::Broken(address, error))
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .map_err(|_| Error::Late(address))?
}

async fn send(
    stream: TcpStream,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Reply, Box<dyn std::error::Error + Send + Sync>> {
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let connection = actix_rt::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(body))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), BODY_LIMIT)
        .collect()
        .await?
        .to_bytes();
    connection.abort();
    Ok(Reply { status, body })
}
