//! A caller's connection up to its login.

use super::end::{End, say, send};
use super::gather::Inbox;
use super::startup::{self, Login, Opening};
use super::{LOGIN_LIMIT, Place, caller};
use tokio::net::TcpStream;

/// The answer to a request for encryption: no.
const NO_ENCRYPTION: &[u8] = b"N";

/// Serves one caller.
pub(super) async fn run(mut stream: TcpStream, place: Place) {
    let mut inbox = Inbox::default();
    let login = tokio::time::timeout(LOGIN_LIMIT, login(&mut stream, &mut inbox, &place)).await;
    let end = match login {
        Ok(Ok(Some(login))) => return caller::start(stream, place, inbox, login).await,
        Ok(Ok(None)) | Err(_) => return,
        Ok(Err(end)) => end,
    };
    say(&mut stream, &end).await;
}

/// Reads messages up to the login; `None` if the connection was for a cancel request.
async fn login(
    stream: &mut TcpStream,
    inbox: &mut Inbox,
    place: &Place,
) -> Result<Option<Box<Login>>, End> {
    loop {
        match startup::take(inbox.buffer())? {
            Some(Opening::Encryption) => send(stream, NO_ENCRYPTION).await?,
            Some(Opening::Login(login)) => return Ok(Some(login)),
            Some(Opening::Cancel(cancel)) => {
                let link = place.door.secrets.borrow().get(&cancel).copied();
                if let Some(link) = link {
                    (place.door.core.cancel)(link);
                }
                return Ok(None);
            }
            None => {
                stream.readable().await?;
                if !inbox.read(stream, place)? {
                    return Err(End::Gone);
                }
            }
        }
    }
}
