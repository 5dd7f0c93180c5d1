//! Upload ids: signed tokens that let any gateway continue a multipart upload without keeping state.

#[cfg(test)]
mod tests;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The key with which all gateways of a deployment sign upload ids.
#[derive(Clone)]
pub struct UploadKey(Vec<u8>);

/// The object that an upload id is valid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObjectPath<'a> {
    /// The tenant's name.
    pub tenant: &'a str,
    /// The bucket.
    pub bucket: &'a str,
    /// The key, decoded.
    pub key: &'a str,
}

/// An upload as its storage node knows it, and the rack of that node. The id that the client holds carries
/// both.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upload {
    /// The rack.
    pub rack: String,
    /// The storage node's id of the upload.
    pub node_id: String,
}

impl UploadKey {
    /// The shortest secret that is accepted, in bytes.
    pub const MIN_SECRET_LEN: usize = 16;

    /// A key from a secret; none if that is too short.
    pub fn new(secret: &[u8]) -> Option<UploadKey> {
        (secret.len() >= Self::MIN_SECRET_LEN).then(|| UploadKey(secret.to_vec()))
    }

    /// The client's id of an upload; valid for this object alone.
    pub fn sign(&self, path: ObjectPath, upload: &Upload) -> String {
        let payload = URL_SAFE_NO_PAD.encode(format!("{}\n{}", upload.rack, upload.node_id));
        let mac = URL_SAFE_NO_PAD.encode(self.mac(path, &payload).finalize().into_bytes());
        format!("{payload}.{mac}")
    }

    /// Decodes a client's id; none unless a gateway of this deployment signed it for this object.
    pub fn verify(&self, path: ObjectPath, id: &str) -> Option<Upload> {
        let (payload, mac) = id.split_once('.')?;
        let mac = URL_SAFE_NO_PAD.decode(mac).ok()?;
        self.mac(path, payload).verify_slice(&mac).ok()?;
        let text = String::from_utf8(URL_SAFE_NO_PAD.decode(payload).ok()?).ok()?;
        let (rack, node_id) = text.split_once('\n')?;
        Some(Upload { rack: rack.into(), node_id: node_id.into() })
    }

    fn mac(&self, path: ObjectPath, payload: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("any length is a valid key");
        for field in [path.tenant, path.bucket, path.key, payload] {
            // The lengths keep neighbouring fields apart.
            mac.update(&(field.len() as u64).to_be_bytes());
            mac.update(field.as_bytes());
        }
        mac
    }
}
