//! The validated settings tree.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::{Map, Value as Json};

use crate::finding::{Code, Finding, Findings};
use crate::history::Change;
use crate::path::{self, Level, Path};
use crate::rule;
use crate::schema::Key;
use crate::value::Value;

/// Largest canonical JSON form, in bytes. The key-value service accepts values of up to 1 MB; the
/// remainder is reserved for the revision and the write id that are stored with the tree.
pub const LEN_MAX: usize = 1_000_000 - 4096;

/// Most places. The check for contradictions visits every combination of a place and a service, and
/// this limit bounds its time. The size expected in two years needs about 20.
pub const PLACES_MAX: usize = 1024;

const SETTINGS: &str = "settings";
const CHILDREN: &str = "children";

/// Settings of all nodes. Every value has the type, range and level that the schema requires, and
/// no two values contradict each other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tree {
    // Nodes without settings are not stored.
    nodes: BTreeMap<Path, BTreeMap<Key, Value>>,
}

/// Where an effective value comes from.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Source {
    /// This node sets the value.
    #[display("{_0}")]
    Node(Path),
    /// No node sets the value, so the built-in default applies.
    #[display("default")]
    Default,
}

/// Value in effect on a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effective {
    /// The value; `None` means no limit.
    pub value: Option<Value>,
    /// Node that sets the value, or the built-in default.
    pub source: Source,
}

impl Tree {
    /// Parses and checks a whole tree.
    ///
    /// # Errors
    /// Returns all faults of the tree.
    pub fn parse(text: &[u8]) -> Result<Tree, Findings> {
        if text.len() > LEN_MAX {
            return Err(too_large(text.len()).into());
        }
        let json = serde_json::from_slice::<Json>(text).map_err(|error| {
            Finding::new(Code::Syntax, "$", error, "write the tree as one JSON object")
        })?;
        Tree::from_json(&json)
    }

    /// Reads and checks a whole tree.
    ///
    /// # Errors
    /// Returns all faults of the tree.
    pub fn from_json(json: &Json) -> Result<Tree, Findings> {
        let mut draft = Draft::new(Tree::default());
        draft.node(&Path::root(), json);
        draft.finish()
    }

    /// Returns the canonical JSON form.
    pub fn to_json(&self) -> Json {
        let mut root = Map::new();
        for (path, settings) in &self.nodes {
            let mut node = &mut root;
            for name in path.names() {
                node = object(object(node, CHILDREN), name);
            }
            let target = object(node, SETTINGS);
            for (key, value) in settings {
                target.insert(key.to_string(), value.to_json());
            }
        }
        Json::Object(root)
    }

    /// Returns the value set on the node itself, without inheritance.
    pub fn get(&self, path: &Path, key: Key) -> Option<&Value> {
        self.nodes.get(path)?.get(&key)
    }

    /// Returns the nodes that set a value, ordered by path, with their values.
    pub fn nodes(&self) -> impl Iterator<Item = (&Path, &BTreeMap<Key, Value>)> {
        self.nodes.iter()
    }

    /// Returns the value in effect on a node and the node that sets it.
    pub fn effective(&self, path: &Path, key: Key) -> Effective {
        let found = path.find(|names| {
            let (node, settings) = self.nodes.get_key_value(names)?;
            settings.get(&key).map(|value| (node, value))
        });
        match found {
            Some((node, value)) => {
                Effective { value: Some(value.clone()), source: Source::Node(node.clone()) }
            }
            None => Effective { value: key.entry().default(), source: Source::Default },
        }
    }

    /// Returns a copy of the tree with a value set on a node.
    ///
    /// # Errors
    /// Returns all faults of the value and of the new tree.
    pub fn set(&self, path: &Path, key: Key, value: &Json) -> Result<Tree, Findings> {
        let place = format!("{}.{SETTINGS}.{key}", path.json());
        let mut draft = Draft::new(self.clone());
        draft.put(path, key, value, &place);
        draft.finish()
    }

    /// Returns a copy of the tree with a value removed from a node, so that the node inherits it.
    ///
    /// # Errors
    /// Returns the contradictions between the inherited value and others.
    pub fn unset(&self, path: &Path, key: Key) -> Result<Tree, Findings> {
        let mut draft = Draft::new(self.clone());
        draft.remove(path, key);
        draft.finish()
    }

    /// Returns the changes that turn this tree into `after`, ordered by path and key.
    pub fn diff(&self, after: &Tree) -> Vec<Change> {
        let mut positions = BTreeSet::new();
        for tree in [self, after] {
            for (path, settings) in &tree.nodes {
                positions.extend(settings.keys().map(|key| (path, *key)));
            }
        }
        let mut changes = Vec::new();
        for (path, key) in positions {
            let (old, new) = (self.get(path, key), after.get(path, key));
            if old == new {
                continue;
            }
            changes.push(Change {
                path: path.clone(),
                key,
                before: old.map(Value::to_json),
                after: new.map(Value::to_json),
            });
        }
        changes
    }
}

impl Serialize for Tree {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        self.to_json().serialize(serializer)
    }
}

/// Reads a stored tree. Types, ranges and levels are checked again. Contradictions are not: the tree
/// was checked for them when it was accepted, and every instance must apply an accepted tree.
impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D>(deserializer: D) -> Result<Tree, D::Error>
    where
        D: Deserializer<'de>,
    {
        let json = Json::deserialize(deserializer)?;
        let mut draft = Draft::new(Tree::default());
        draft.node(&Path::root(), &json);
        draft.findings.into_result(draft.tree).map_err(serde::de::Error::custom)
    }
}

/// Tree under construction, with the faults found so far.
pub(crate) struct Draft {
    tree: Tree,
    /// Keys of changed values. The initial tree has no contradictions, so only the rules that involve
    /// these keys are checked.
    touched: BTreeSet<Key>,
    /// Keys of rejected values.
    rejected: BTreeSet<Key>,
    findings: Findings,
}

impl Draft {
    pub(crate) fn new(tree: Tree) -> Draft {
        Draft {
            tree,
            touched: BTreeSet::new(),
            rejected: BTreeSet::new(),
            findings: Findings::default(),
        }
    }

    /// Sets a value if it conforms to the schema; `place` is its position in the input, for findings.
    pub(crate) fn put(&mut self, path: &Path, key: Key, json: &Json, place: &str) {
        let entry = key.entry();
        if path.names().len() > path::DEPTH_MAX {
            self.rejected.insert(key);
            self.findings.push(Finding::new(Code::BadPath, place, path, path::DEPTH_HELP));
            return;
        }
        if !entry.levels.contains(&path.level()) {
            self.rejected.insert(key);
            let help = format!("set {key} only on: {}", entry.levels_text());
            let found = format!("{} ({})", path, path.level());
            self.findings.push(Finding::new(Code::WrongLevel, place, found, help));
            return;
        }
        match Value::from_json(json, &entry.kind) {
            Ok(value) => {
                self.touched.insert(key);
                self.tree.nodes.entry(path.clone()).or_default().insert(key, value);
            }
            Err(rejections) => {
                self.rejected.insert(key);
                for rejection in rejections {
                    let place = format!("{place}{}", rejection.path_suffix);
                    let finding =
                        Finding::new(rejection.code, place, rejection.found, rejection.help);
                    self.findings.push(finding);
                }
            }
        }
    }

    pub(crate) fn remove(&mut self, path: &Path, key: Key) {
        let Some(settings) = self.tree.nodes.get_mut(path) else { return };
        if settings.remove(&key).is_some() {
            self.touched.insert(key);
        }
        if settings.is_empty() {
            self.tree.nodes.remove(path);
        }
    }

    /// Checks the limits and rules that involve more than one value, and returns the tree if there
    /// are no findings.
    pub(crate) fn finish(mut self) -> Result<Tree, Findings> {
        let len = self.tree.to_json().to_string().len();
        if len > LEN_MAX {
            self.findings.push(too_large(len));
        }
        let mut places: BTreeSet<Path> = self.tree.nodes.keys().map(Path::place).collect();
        places.retain(|place| place.level() == Level::Place);
        if places.len() > PLACES_MAX {
            let help = format!("use at most {PLACES_MAX} places");
            self.findings.push(Finding::new(Code::TooLarge, "$", places.len(), help));
            return Err(self.findings);
        }
        rule::check(&self.tree, &self.touched, &self.rejected, &mut self.findings);
        self.findings.into_result(self.tree)
    }

    fn node(&mut self, path: &Path, json: &Json) {
        let place = path.json();
        let Some(fields) = self.object(&place, json) else { return };
        for (field, content) in fields {
            let place = format!("{place}.{field}");
            match field.as_str() {
                SETTINGS => self.settings(path, &place, content),
                CHILDREN => self.children(path, &place, content),
                _ => {
                    let help = "a node has only the fields settings and children";
                    self.findings.push(Finding::new(Code::UnknownField, place, field, help));
                }
            }
        }
    }

    fn settings(&mut self, path: &Path, place: &str, json: &Json) {
        let Some(fields) = self.object(place, json) else { return };
        for (name, content) in fields {
            let place = format!("{place}.{name}");
            match parse_key(name) {
                Ok(key) => self.put(path, key, content, &place),
                Err(help) => {
                    self.findings.push(Finding::new(Code::UnknownKey, place, name, help));
                }
            }
        }
    }

    fn children(&mut self, path: &Path, place: &str, json: &Json) {
        let Some(fields) = self.object(place, json) else { return };
        for (name, content) in fields {
            match path.child(name) {
                Ok(child) => self.node(&child, content),
                Err(error) => {
                    let place = format!("{place}[{name:?}]");
                    self.findings.push(Finding::new(Code::BadPath, place, name, error.help));
                }
            }
        }
    }

    fn object<'a>(&mut self, place: &str, json: &'a Json) -> Option<&'a Map<String, Json>> {
        let object = json.as_object();
        if object.is_none() {
            let finding = Finding::new(Code::WrongType, place, json, "write a JSON object");
            self.findings.push(finding);
        }
        object
    }
}

/// Returns the key with this name, or the help text for an unknown name.
pub(crate) fn parse_key(name: &str) -> Result<Key, String> {
    name.parse().map_err(|_| match Key::nearest(name) {
        Some(key) => format!("did you mean {key}? docs/settings.md lists all keys"),
        None => "use a key listed in docs/settings.md".to_owned(),
    })
}

fn too_large(len: usize) -> Finding {
    let help = format!("keep the tree within {LEN_MAX} bytes; set common values on parents");
    Finding::new(Code::TooLarge, "$", format!("{len} bytes"), help)
}

/// Returns the object in a field; creates it if the field is missing or not an object.
fn object<'a>(parent: &'a mut Map<String, Json>, field: &str) -> &'a mut Map<String, Json> {
    let value = parent.entry(field).or_insert(Json::Null);
    if !value.is_object() {
        *value = Json::Object(Map::new());
    }
    match value {
        Json::Object(map) => map,
        _ => unreachable!("the value was replaced by an object"),
    }
}
