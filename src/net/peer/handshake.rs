//! The handshake of a stream between two proxies: each sends its identity before anything else.

use super::{CONNECT_TIMEOUT, Frame, Identity};
use crate::net::rpc;
use crate::types::{Life, VmId};
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::metadata::MetadataMap;
use tonic::transport::Endpoint;
use tonic::{IntoStreamingRequest, Status, Streaming};

const VM: &str = "vm";
const LIFE: &str = "life";
const PROTOCOL: &str = "protocol";

/// A stream that another VM opened.
pub(super) struct Incoming {
    pub vm: VmId,
    pub life: Life,
    pub messages: Streaming<Frame>,
    pub frames: mpsc::UnboundedSender<Frame>,
}

/// An opened stream: the peer's life, the frames received from it, and the sender to it.
pub(super) type Opened = (Life, Streaming<Frame>, mpsc::UnboundedSender<Frame>);

/// Opens a stream to `address`. Fails if a VM other than `expected` listens there.
pub(super) async fn connect(
    identity: &Identity,
    expected: &VmId,
    address: SocketAddr,
) -> Result<Opened, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| Status::invalid_argument(error.to_string()))?
        .tcp_nodelay(true)
        .local_address(Some(identity.source))
        .connect_timeout(CONNECT_TIMEOUT);
    let attempt = async {
        let channel = endpoint.connect().await;
        let channel = channel.map_err(|error| Status::unavailable(error.to_string()))?;
        let (frames, receiver) = mpsc::unbounded_channel();
        let mut request = UnboundedReceiverStream::new(receiver).into_streaming_request();
        write_identity(identity, request.metadata_mut())?;
        let response = rpc::open(channel, request).await?;
        let (vm, life) = read_identity(response.metadata())?;
        if vm != *expected {
            return Err(Status::not_found(format!("{vm} listens there now")));
        }
        Ok((life, response.into_inner(), frames))
    };
    let timed_out = |_| Status::deadline_exceeded("no answer to the attempt");
    tokio::time::timeout(CONNECT_TIMEOUT, attempt)
        .await
        .map_err(timed_out)?
}

/// Accepts a stream that another VM opens, and passes it to `incoming`.
pub(super) fn accept(
    identity: &Identity,
    request: tonic::Request<Streaming<Frame>>,
    incoming: &mpsc::UnboundedSender<Incoming>,
) -> Result<tonic::Response<rpc::Answers<Frame>>, Status> {
    let (vm, life) = read_identity(request.metadata())?;
    let (frames, receiver) = mpsc::unbounded_channel();
    let messages = request.into_inner();
    let accepted = incoming.send(Incoming {
        vm,
        life,
        messages,
        frames,
    });
    accepted.map_err(|_| Status::unavailable("this process is ending"))?;
    let answers = tokio_stream::StreamExt::map(UnboundedReceiverStream::new(receiver), Ok);
    let mut response = tonic::Response::new(Box::pin(answers) as rpc::Answers<Frame>);
    write_identity(identity, response.metadata_mut())?;
    Ok(response)
}

fn write_identity(identity: &Identity, metadata: &mut MetadataMap) -> Result<(), Status> {
    let entries = [
        (VM, identity.vm.to_string()),
        (LIFE, identity.life.to_string()),
        (PROTOCOL, rpc::PROTOCOL.to_string()),
    ];
    for (key, value) in entries {
        let value = value
            .parse()
            .map_err(|_| Status::internal("unprintable identity"))?;
        metadata.insert(key, value);
    }
    Ok(())
}

fn read_identity(metadata: &MetadataMap) -> Result<(VmId, Life), Status> {
    let text = |key: &str| {
        let value = metadata.get(key).and_then(|value| value.to_str().ok());
        value.ok_or_else(|| Status::invalid_argument(format!("the stream does not state `{key}`")))
    };
    let protocol = text(PROTOCOL)?;
    if protocol != rpc::PROTOCOL.to_string() {
        return Err(Status::failed_precondition(format!(
            "the peer speaks protocol {protocol}, this process {}: run one version on all VMs",
            rpc::PROTOCOL
        )));
    }
    let vm = text(VM)?
        .parse()
        .map_err(|error| Status::invalid_argument(format!("{error}")))?;
    let life = text(LIFE)?
        .parse()
        .map_err(|error| Status::invalid_argument(format!("{error}")))?;
    Ok((vm, life))
}
