//! Encoding of control messages.

use std::{
    io,
    pin::Pin,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tarpc::{
    ClientMessage, Request, Response, context,
    tokio_serde::{Deserializer, Serializer, formats::Bincode},
};

/// Encodes control messages with bincode. Omits tarpc's trace context, which is unused: a renewal
/// of votes, which is sent to each voter ten times a second, takes 31 bytes instead of 52.
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec;

/// The encoded parts of a [`ClientMessage`].
#[derive(Deserialize, Serialize)]
enum WireMessage<T> {
    Request {
        deadline_ms: u32,
        id: u64,
        message: T,
    },
    Cancel {
        id: u64,
    },
}

impl<T: Serialize> Serializer<ClientMessage<T>> for Codec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, message: &ClientMessage<T>) -> io::Result<Bytes> {
        let wire = match message {
            ClientMessage::Request(it) => {
                let remaining = it
                    .context
                    .deadline
                    .saturating_duration_since(Instant::now());
                WireMessage::Request {
                    deadline_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
                    id: it.id,
                    message: &it.message,
                }
            }
            ClientMessage::Cancel { request_id, .. } => WireMessage::Cancel { id: *request_id },
            _ => return Err(io::ErrorKind::Unsupported.into()),
        };
        Pin::new(&mut Bincode::<(), WireMessage<&T>>::default()).serialize(&wire)
    }
}

impl<T: DeserializeOwned + Unpin> Deserializer<ClientMessage<T>> for Codec {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, bytes: &BytesMut) -> io::Result<ClientMessage<T>> {
        let mut context = context::current();
        match Pin::new(&mut Bincode::<WireMessage<T>, ()>::default()).deserialize(bytes)? {
            WireMessage::Request {
                deadline_ms,
                id,
                message,
            } => {
                context.deadline = Instant::now() + Duration::from_millis(deadline_ms.into());
                Ok(ClientMessage::Request(Request {
                    context,
                    id,
                    message,
                }))
            }
            WireMessage::Cancel { id } => Ok(ClientMessage::Cancel {
                trace_context: context.trace_context,
                request_id: id,
            }),
        }
    }
}

impl<T: Serialize + Unpin> Serializer<Response<T>> for Codec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, message: &Response<T>) -> io::Result<Bytes> {
        Pin::new(&mut Bincode::<(), Response<T>>::default()).serialize(message)
    }
}

impl<T: DeserializeOwned + Unpin> Deserializer<Response<T>> for Codec {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, bytes: &BytesMut) -> io::Result<Response<T>> {
        Pin::new(&mut Bincode::<Response<T>, ()>::default()).deserialize(bytes)
    }
}
