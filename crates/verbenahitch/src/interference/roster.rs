//! Small keys for profiles.

use std::sync::Arc;

use crate::collections::HashMap;
use crate::domain::Profile;

/// Key of a profile in its [`Roster`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProfileId(usize);

impl ProfileId {
    /// Position of the profile, from zero in the order of its first use.
    pub const fn index(self) -> usize {
        self.0
    }
}

/// Profiles by name and by key; a key stays valid for ever.
#[derive(Debug, Default)]
pub struct Roster {
    ids: HashMap<Arc<str>, ProfileId>,
    names: Vec<Arc<str>>,
    profiles: Vec<Arc<Profile>>,
}

impl Roster {
    /// Key of a profile, added if it is new and replaced if it changed.
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

    /// Key of a profile as declared, added if it is new and replaced if it changed.
    pub fn refresh(&mut self, name: &str, profile: &Profile) -> ProfileId {
        if let Some(id) = self.ids.get(name) {
            if *self.profiles[id.0] != *profile {
                self.profiles[id.0] = Arc::new(profile.clone());
            }
            return *id;
        }
        self.add(&Arc::from(name), &Arc::new(profile.clone()))
    }

    /// Key of a profile that was added.
    pub fn id(&self, name: &str) -> Option<ProfileId> {
        self.ids.get(name).copied()
    }

    /// Name of a profile.
    pub fn name(&self, id: ProfileId) -> &Arc<str> {
        &self.names[id.0]
    }

    /// Name of the profile at a position.
    pub(super) fn name_at(&self, at: usize) -> &Arc<str> {
        &self.names[at]
    }

    /// Profile as last added.
    pub fn profile(&self, id: ProfileId) -> &Arc<Profile> {
        &self.profiles[id.0]
    }
}
