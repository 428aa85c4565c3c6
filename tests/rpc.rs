//! Calls between lentilspoke processes, over loopback.

use lentilspoke::net::rpc;
use std::net::SocketAddr;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::{Endpoint, Server};

async fn listen() -> (tokio::net::TcpListener, SocketAddr) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

#[actix_rt::test]
async fn a_call_is_answered() {
    let (listener, address) = listen().await;
    let service =
        rpc::unary(
            |question: u32| async move { Ok::<u64, tonic::Status>(u64::from(question) * 2) },
        );
    actix_rt::spawn(
        Server::builder()
            .add_service(service)
            .serve_with_incoming(TcpListenerStream::new(listener)),
    );
    let channel = Endpoint::from_shared(format!("http://{address}"))
        .unwrap()
        .connect_lazy();
    let answer: u64 = rpc::call(channel.clone(), 21u32).await.unwrap();
    assert_eq!(answer, 42);
    let error = rpc::call::<(), u64>(channel, ()).await.unwrap_err();
    assert_eq!(error.code(), tonic::Code::InvalidArgument);
}
