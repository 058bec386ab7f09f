export * from './area.js';
export * from './events.js';
export * from './effects.js';
export * from './messages.js';
export * from './state.js';
export * from './sheet-result.js';
export * from './adapter-entry.js';
export * from './selectors.js';
export {storedHead} from './adoption.js';
export {
  type ConfigurationHead,
  configurationHeadSchema,
  type RevisionNote,
  revisionNoteSchema,
  type SigningKey,
  signingKeySchema,
} from './head.js';
export {parseSheet, SHEET_COLUMNS, type SheetRow} from './sheet.js';
