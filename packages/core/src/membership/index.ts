export * from './area.js';
export * from './events.js';
export * from './effects.js';
export * from './messages.js';
export * from './state.js';
export * from './selectors.js';
export {CONFIGURATION_HEAD, ZONE_RECORD_KIND} from './records.js';
export {zoneReader} from './relay.js';
export {
  chooseByRendezvous,
  rankByRendezvous,
  rankByWeightedRendezvous,
  type WeightedCandidate,
} from './rendezvous.js';
