/** A replacement of text that occurs exactly once in a compiled module. */
export interface Edit {
  /** Module of the core package, for example `ownership/selectors.js`. */
  readonly module: string;
  readonly search: string;
  readonly replacement: string;
}

/** A deliberate fault that the checks must catch. */
export interface Mutation {
  readonly name: string;
  readonly edits: readonly Edit[];
}
