CREATE TABLE orders (
  workspace TEXT NOT NULL,
  order_no TEXT NOT NULL,
  run_mm INTEGER NOT NULL,
  brackets INTEGER NOT NULL,
  sheets INTEGER NOT NULL
);
CREATE TABLE catalogue (profile TEXT PRIMARY KEY, price_cents INTEGER NOT NULL);
CREATE TABLE notes (
  workspace TEXT NOT NULL,
  site TEXT NOT NULL,
  note TEXT NOT NULL
);
CREATE TABLE stock (
  workspace TEXT NOT NULL,
  blank TEXT NOT NULL,
  free INTEGER NOT NULL CHECK (free >= 0),
  PRIMARY KEY (workspace, blank)
);
CREATE TABLE reservations (
  workspace TEXT NOT NULL,
  hold TEXT NOT NULL,
  blank TEXT NOT NULL,
  state TEXT NOT NULL,
  crates INTEGER NOT NULL DEFAULT 0,
  PRIMARY KEY (workspace, hold)
);
