//! Settings of a worker.

use std::time::Duration;

use knapweedgap_core::{id, size};

use super::behaviour::Behaviour;

/// Lag of the reported use unless set.
const USAGE_LAG: Duration = Duration::from_secs(2);

/// Settings of a worker. Built by [`Builder`].
#[derive(Debug, Clone)]
pub struct Settings {
    pub(super) worker: id::Worker,
    pub(super) capacity: size::Resources,
    pub(super) behaviour: Behaviour,
    pub(super) usage_lag: Duration,
    pub(super) checkpoint_interval: Option<Duration>,
    pub(super) seed: u64,
}

impl Settings {
    /// Starts from well-behaved tasks, a lag of 2 s and checkpoints only on command.
    pub fn builder(worker: id::Worker, capacity: size::Resources) -> Builder {
        let behaviour = Behaviour::default();
        let settings = Settings {
            worker,
            capacity,
            behaviour,
            usage_lag: USAGE_LAG,
            checkpoint_interval: None,
            seed: 0,
        };
        Builder { settings }
    }
}

/// Builder of [`Settings`].
#[derive(Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Sets what tasks do whose payload says nothing else.
    pub fn behaviour(mut self, behaviour: Behaviour) -> Builder {
        self.settings.behaviour = behaviour;
        self
    }

    /// Sets how old the reported use is.
    pub fn usage_lag(mut self, lag: Duration) -> Builder {
        self.settings.usage_lag = lag;
        self
    }

    /// Sets the time between checkpoints that a task writes by itself.
    pub fn checkpoint_interval(mut self, interval: Option<Duration>) -> Builder {
        self.settings.checkpoint_interval = interval;
        self
    }

    /// Sets the seed that decides which attempts fail.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.settings.seed = seed;
        self
    }

    /// Returns the finished settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
