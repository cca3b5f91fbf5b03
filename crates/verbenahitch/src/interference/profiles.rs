//! Table that assigns each profile a dense integer key.

use std::sync::Arc;

use crate::collections::HashMap;
use crate::domain::Profile;

/// Key of a profile in its [`ProfileTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProfileId(usize);

impl ProfileId {
    /// Position of the profile, from zero in the order of its first use.
    pub const fn index(self) -> usize {
        self.0
    }
}

/// Profiles by name and by key; keys are never reused.
#[derive(Debug, Default)]
pub struct ProfileTable {
    ids: HashMap<Arc<str>, ProfileId>,
    names: Vec<Arc<str>>,
    profiles: Vec<Arc<Profile>>,
}

impl ProfileTable {
    /// Adds or replaces a profile; returns its key.
    pub fn add(&mut self, name: &Arc<str>, profile: &Arc<Profile>) -> ProfileId {
        if let Some(id) = self.ids.get(name) {
            self.profiles[id.0] = Arc::clone(profile);
            return *id;
        }
        let id = ProfileId(self.names.len());
        self.ids.insert(Arc::clone(name), id);
        self.names.push(Arc::clone(name));
        self.profiles.push(Arc::clone(profile));
        id
    }

    /// Like [`Self::add`], but copies the profile only if it is new or has changed.
    pub fn refresh(&mut self, name: &str, profile: &Profile) -> ProfileId {
        if let Some(id) = self.ids.get(name) {
            if *self.profiles[id.0] != *profile {
                self.profiles[id.0] = Arc::new(profile.clone());
            }
            return *id;
        }
        self.add(&Arc::from(name), &Arc::new(profile.clone()))
    }

    /// Key of a profile, if it was added.
    pub fn id(&self, name: &str) -> Option<ProfileId> {
        self.ids.get(name).copied()
    }

    /// Name of a profile.
    pub fn name(&self, id: ProfileId) -> &Arc<str> {
        &self.names[id.0]
    }

    /// Name of the profile at an index.
    pub(super) fn name_at(&self, at: usize) -> &Arc<str> {
        &self.names[at]
    }

    /// Profile in its last added version.
    pub fn profile(&self, id: ProfileId) -> &Arc<Profile> {
        &self.profiles[id.0]
    }
}
