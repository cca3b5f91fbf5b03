//! Bearer tokens, kept and compared as digests.

use subtle::ConstantTimeEq;

use crate::config::token_digest;

/// Name of the holder whose digest is that of `token`; takes the same time for each.
pub(super) fn holder<'a>(
    token: &str,
    holders: impl Iterator<Item = (&'a str, &'a str)>,
) -> Option<&'a str> {
    let shown = token_digest(token);
    let mut found = None;
    for (name, digest) in holders {
        let digest = digest.to_ascii_lowercase();
        if bool::from(digest.as_bytes().ct_eq(shown.as_bytes())) {
            found = Some(name);
        }
    }
    found
}
