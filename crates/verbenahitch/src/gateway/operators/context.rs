//! Dependencies of the interface.

use std::sync::Arc;

use crate::adapter::Store;
use crate::config::{CurrentDeclarations, token_digest};
use crate::domain::{Millis, Monotonic};
use crate::peer::{Handle, Member};
use crate::port::Clock;
use crate::settings::{Settings, TokenError, read_token};

/// Dependencies of the interface.
pub struct ApiContext {
    pub(super) settings: Arc<Settings>,
    pub(super) current: CurrentDeclarations,
    pub(super) handle: Handle,
    pub(super) store: Store,
    pub(super) clock: Arc<dyn Clock>,
    operators: Vec<(String, String)>,
}

impl ApiContext {
    /// Creates the context, and reads the operators' tokens of the settings.
    ///
    /// # Errors
    ///
    /// When a token file cannot be read or is empty.
    pub fn new(
        settings: Arc<Settings>,
        current: CurrentDeclarations,
        handle: Handle,
        store: Store,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, TokenError> {
        let operators = settings.operators.iter().map(|operator| {
            let token = read_token(&operator.token_file)?;
            Ok((operator.name.clone(), token_digest(&token)))
        });
        let operators = operators.collect::<Result<_, TokenError>>()?;
        Ok(Self {
            settings,
            current,
            handle,
            store,
            clock,
            operators,
        })
    }

    /// Names and token digests of the operators.
    pub(super) fn operators(&self) -> impl Iterator<Item = (&str, &str)> {
        let operators = self.operators.iter();
        operators.map(|(name, digest)| (name.as_str(), digest.as_str()))
    }

    pub(super) fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// Whether the record of `member` is recent enough.
    pub(super) fn is_live(&self, member: &Member) -> bool {
        member.is_live(self.handle.timeout_ms())
    }

    pub(super) fn permit_ms(&self) -> Millis {
        self.settings.scheduler.permit_ms
    }
}
