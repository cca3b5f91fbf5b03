//! Changes of the workers' entries in the registry, and of the zones in service.

use verbenahitch::domain::Millis;

use super::{World, queue};

/// Time after which the registry drops the entry of a silent worker, in milliseconds.
pub const UNLISTED_MS: Millis = 3_000;

impl World {
    /// Lets a worker announce that it drains.
    pub fn drain_worker(&mut self, name: &str) {
        self.workers.get_mut(name).unwrap().info.draining = true;
        self.send_registry();
    }

    /// Evacuates the zone of a worker, in which it is alone.
    pub fn evacuate_zone_of(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).unwrap();
        worker.info.zone = "evacuated".to_owned();
        self.send_registry();
        let queues = [queue("push", 0), queue("batch", 2)];
        self.dispatcher
            .declare(&queues, &[], &["evacuated".to_owned()]);
    }

    /// Removes a worker's entry from the registry.
    pub fn unlist_worker(&mut self, name: &str) {
        self.workers.get_mut(name).unwrap().unlisted = true;
        self.dispatcher.unlist_worker(name, self.clock().at);
    }

    /// Another writer leaves a worker's entry unreadable.
    pub fn spoil_entry(&mut self, name: &str) {
        self.workers.get_mut(name).unwrap().unlisted = true;
        self.dispatcher.entry_unreadable(name);
    }

    /// Makes a worker's entry good again.
    pub fn mend_entry(&mut self, name: &str) {
        self.workers.get_mut(name).unwrap().unlisted = false;
        self.send_registry();
    }

    /// Ends a worker; another one, which the registry does not list yet, takes its address.
    pub fn replace_worker(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).unwrap();
        worker.replaced = true;
        worker.life.runs.clear();
        worker.unlisted = true;
        self.dispatcher.unlist_worker(name, self.clock().at);
    }

    /// Brings the workers' entries in the registry up to date.
    pub fn list_workers(&mut self) {
        for worker in self.workers.values_mut() {
            worker.info.incarnation = worker.life.number;
        }
        self.send_registry();
    }

    pub fn send_registry(&mut self) {
        for worker in self.workers.values().filter(|worker| !worker.unlisted) {
            self.dispatcher
                .upsert_worker(worker.info.clone(), self.clock().at);
        }
    }
}
