//! Settings of a worker.

use std::time::Duration;

use knapweedgap_core::{id, size};

use super::behaviour::Behaviour;

/// Default lag of the reported usage.
const USAGE_LAG: Duration = Duration::from_secs(2);

/// Settings of a worker, created with [`Builder`].
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
    /// Creates a builder with these defaults: tasks behave as declared, the reported usage is 2 s
    /// old, and checkpoints are written only on command.
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
    /// Sets the behaviour of tasks whose payload does not override it.
    pub fn behaviour(mut self, behaviour: Behaviour) -> Builder {
        self.settings.behaviour = behaviour;
        self
    }

    /// Sets the age of the reported resource usage.
    pub fn usage_lag(mut self, lag: Duration) -> Builder {
        self.settings.usage_lag = lag;
        self
    }

    /// Sets the interval of periodic checkpoints; `None` disables them.
    pub fn checkpoint_interval(mut self, interval: Option<Duration>) -> Builder {
        self.settings.checkpoint_interval = interval;
        self
    }

    /// Sets the seed that selects the failing attempts.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.settings.seed = seed;
        self
    }

    /// Returns the finished settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
