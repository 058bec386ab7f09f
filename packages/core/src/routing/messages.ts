import {z} from 'zod';

import {hostIdSchema, requestIdSchema, serverIdSchema} from '../identifiers.js';
import {refusalSchema} from '../refusal.js';
import {requestDescriptionSchema} from '../request.js';

/**
 * Ingress to home: requests a server. Repeated with the same `placementId`
 * until it is answered; a repetition does not place the request again.
 */
const placementRequestedSchema = z.object({
  type: z.literal('placement-requested'),
  placementId: z.string(),
  request: requestDescriptionSchema,
  remainingMs: z.number(),
  /** Servers that have already refused this request. */
  excluded: z.array(serverIdSchema),
});

/** Home to ingress: the placement is held until it is due. */
const placementQueuedSchema = z.object({
  type: z.literal('placement-queued'),
  placementId: z.string(),
  requestId: requestIdSchema,
});

/** Home to ingress: run the request on this server. */
const placementGrantedSchema = z.object({
  type: z.literal('placement-granted'),
  placementId: z.string(),
  requestId: requestIdSchema,
  server: serverIdSchema,
  owner: hostIdSchema,
});

/** Home to ingress: the request was not placed, and so has not run. */
const placementRefusedSchema = z.object({
  type: z.literal('placement-refused'),
  placementId: z.string(),
  requestId: requestIdSchema,
  refusal: refusalSchema,
});

/** Ingress to home: the placement is no longer in use. */
const placementFinishedSchema = z.object({
  type: z.literal('placement-finished'),
  placementId: z.string(),
});

/** Messages between entry hosts that the routing area handles. */
export const routingMessageSchemas = [
  placementRequestedSchema,
  placementQueuedSchema,
  placementGrantedSchema,
  placementRefusedSchema,
  placementFinishedSchema,
] as const;

export type PlacementRequested = z.infer<typeof placementRequestedSchema>;
export type PlacementQueued = z.infer<typeof placementQueuedSchema>;
export type PlacementGranted = z.infer<typeof placementGrantedSchema>;
export type PlacementRefused = z.infer<typeof placementRefusedSchema>;
export type PlacementFinished = z.infer<typeof placementFinishedSchema>;
