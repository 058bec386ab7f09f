import {z} from 'zod';

/** One service that a route leads to, with its share of the requests. */
export const routeTargetSchema = z.object({
  service: z.string(),
  /** Relative share; targets without weight get nothing. */
  weight: z.number().nonnegative(),
});

/**
 * How often a request may run: `idempotent` any number of times,
 * `non-idempotent` once at most. A `stream` runs once at most unless its route
 * is resumable.
 */
export const requestKindSchema = z.enum([
  'idempotent',
  'non-idempotent',
  'stream',
]);
export type RequestKind = z.infer<typeof requestKindSchema>;

/** What requests of one host and path prefix are owed. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash; the longest prefix of a path wins. */
  pathPrefix: z.string(),
  kind: requestKindSchema,
  targets: z.array(routeTargetSchema).min(1),
  /** Milliseconds after which a request gets its final answer. */
  timeoutMs: z.number().positive(),
  /** Milliseconds to the answer, or a stream's first event. */
  latencyTargetMs: z.number().positive(),
  /** Longest pause between two events of a stream, milliseconds. */
  eventGapMs: z.number().positive().optional(),
  /** Rank among the requests of a service; 0 is first. */
  priority: z.number().int().nonnegative(),
  /** Servers on which one request may run. */
  maximumAttempts: z.number().int().positive(),
  /** Requests share parts of their prompts that servers keep. */
  sticky: z.boolean(),
  /** An interrupted stream may go on at another server. */
  resumable: z.boolean(),
  /** Needs no key although the configuration names tenants. */
  open: z.boolean().optional(),
});
export type Route = z.infer<typeof routeSchema>;

/** A base model that servers of a service hold. */
export const modelSchema = z.object({
  name: z.string(),
  /** Size of the weights, megabytes. */
  weightsMb: z.number().nonnegative(),
  /** Size of one of its adapters, megabytes. */
  adapterMb: z.number().nonnegative(),
});

/** Limits of the inference engines of a service. */
export const engineLimitsSchema = z.object({
  /** Adapters that a server holds, those on their way included. */
  adapterPlaces: z.number().int().nonnegative(),
  /** Memory for weights and adapters together, megabytes. */
  weightMemoryMb: z.number().nonnegative(),
  models: z.array(modelSchema),
});
export type EngineLimits = z.infer<typeof engineLimitsSchema>;

/** A group of equal upstream servers. */
export const serviceSchema = z.object({
  name: z.string(),
  /** Path of the health check. */
  healthPath: z.string(),
  /** Connections that a server takes from all callers together. */
  maximumConnections: z.number().int().positive(),
  engine: engineLimitsSchema.optional(),
});
export type Service = z.infer<typeof serviceSchema>;

/** What a tenant may use over all hosts together. */
export const tenantQuotaSchema = z.object({
  /** What rate and burst are counted in. */
  unit: z.enum(['requests', 'tokens']),
  perSecond: z.number().positive(),
  /** May be used at once after a quiet time. */
  burst: z.number().nonnegative(),
  /** Tokens of a request that does not say how many it uses. */
  plainTokens: z.number().nonnegative(),
});
export type TenantQuota = z.infer<typeof tenantQuotaSchema>;

/** A customer of the operator, known by its keys. */
export const tenantSchema = z.object({
  name: z.string().min(1),
  /** SHA-256 of each key, base64url: keys themselves are kept nowhere. */
  keyDigests: z.array(z.string().length(43)),
  /** Rank that goes before the rank of the route; 0 is first. */
  priority: z.number().int().nonnegative().optional(),
  /** Absent where it may use any amount. */
  quota: tenantQuotaSchema.optional(),
});
export type Tenant = z.infer<typeof tenantSchema>;

/** Bounds on what a caller may send, and how slowly. */
export const callerLimitsSchema = z.object({
  maximumHeaderBytes: z.number().int().positive(),
  maximumBodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** Everything the operator decides, at one version. */
export const servingConfigurationSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: callerLimitsSchema,
  /** Requests need a tenant's key, but on open routes; absent: none does. */
  tenants: z.array(tenantSchema).optional(),
});
export type ServingConfiguration = z.infer<typeof servingConfigurationSchema>;

/**
 * Returns how many adapters of a model a server holds next to the weights, by
 * the places and by the memory that the weights leave.
 */
export const adapterCapacity = (engine: EngineLimits): number => {
  const weightsMb = engine.models.reduce(
    (sum, model) => sum + model.weightsMb,
    0,
  );
  const largestMb = Math.max(
    0,
    ...engine.models.map(({adapterMb}) => adapterMb),
  );
  const freeMb = Math.max(0, engine.weightMemoryMb - weightsMb);
  const byMemory = largestMb === 0 ? Infinity : Math.floor(freeMb / largestMb);
  return Math.min(engine.adapterPlaces, byMemory);
};
