//! The HTTP server and client for operators, over loopback.

use ::http::{Method, StatusCode};
use lentilspoke::net::http::{self, Reply};
use tokio::net::TcpListener;

#[actix_rt::test]
async fn a_body_is_posted_and_echoed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(http::serve(listener, |call| async move {
        match call.method {
            Method::POST => Reply::new(StatusCode::OK, call.body),
            _ => Reply::new(StatusCode::NOT_FOUND, call.path.to_string()),
        }
    }));
    let echoed = http::post(address, "/config", "{}".into()).await.unwrap();
    assert_eq!(echoed, Reply::new(StatusCode::OK, "{}"));
    let missing = http::get(address, "/nothing?x").await.unwrap();
    assert_eq!(missing, Reply::new(StatusCode::NOT_FOUND, "/nothing?x"));
}
