import type {HostList, ServerDescription} from '@basilworks/core';
import {Hono} from 'hono';

import type {Deployment} from './deployments.js';
import {engineRoutes} from './http/engine-routes.js';
import {listen, type Listener, type NodeEnvironment} from './http/listen.js';
import {objectApiRoutes} from './http/object-api-routes.js';
import {plainServiceRoutes} from './http/plain-service-routes.js';
import {seededRandom} from './lib/random.js';
import {
  DEFAULT_ENGINE_OPTIONS,
  EngineModel,
  HostListModel,
  ObjectStoreModel,
  PlainServiceModel,
  RealScheduler,
  WeightStoreModel,
} from './models/index.js';

const SLOTS_OF_PLAIN_SERVICE = 0;

/** Every outside system of one deployment, listening on loopback. */
export class StandInPlatform {
  readonly scheduler = new RealScheduler();
  readonly objectStore: ObjectStoreModel;
  readonly weightStore: WeightStoreModel;
  readonly hostList: HostListModel;
  readonly engines = new Map<string, EngineModel>();
  readonly plainServices = new Map<string, PlainServiceModel>();
  objectApiAddress = '';
  hostListAddress = '';
  private readonly listeners: Listener[] = [];
  private readonly random;

  private constructor(private readonly deployment: Deployment) {
    const {scheduler} = this;
    this.random = seededRandom(deployment.seed);
    this.objectStore = new ObjectStoreModel(scheduler, this.random);
    this.hostList = new HostListModel(scheduler, deployment.hostListLagMs);
    this.weightStore = new WeightStoreModel(
      scheduler,
      this.random,
      deployment.weightStore,
    );
  }

  /** Starts every listener and fills the host list with the servers. */
  static async start(deployment: Deployment): Promise<StandInPlatform> {
    const platform = new StandInPlatform(deployment);
    platform.objectApiAddress = await platform.listen(
      objectApiRoutes(platform.objectStore),
    );
    platform.hostListAddress = await platform.listen(
      hostListRoutes(platform.hostList),
    );
    for (const {pool, kind, servers} of deployment.pools) {
      for (let index = 0; index < servers; index++) {
        await platform.startServer(pool, kind, index);
      }
    }
    return platform;
  }

  /** Servers as described to the daemons. */
  servers(): readonly ServerDescription[] {
    return this.hostList.latest().servers;
  }

  /** Starts a listener that is closed together with the platform. */
  async listen(routes: Hono<NodeEnvironment>): Promise<string> {
    const listener = await listen(routes);
    this.listeners.push(listener);
    return listener.address;
  }

  close(): void {
    for (const listener of this.listeners) {
      listener.close();
    }
  }

  private async startServer(
    pool: string,
    kind: ServerDescription['kind'],
    index: number,
  ): Promise<void> {
    const {deployment} = this;
    const server = `${pool}-${index + 1}`;
    const zone = deployment.zones[index % deployment.zones.length] ?? '';
    const engine = kind === 'engine';
    const address = await this.listen(
      engine ? this.addEngine(server) : this.addPlainService(server),
    );
    this.hostList.putServer({
      server,
      zone,
      pool,
      kind,
      address,
      ...(engine ? {baseModel: deployment.baseModel} : {}),
      slots: engine ? deployment.slots : SLOTS_OF_PLAIN_SERVICE,
      batchPositions: deployment.batchPositions,
      checksFencing: engine && deployment.checksFencing,
      state: 'live',
    });
  }

  private addEngine(server: string): Hono<NodeEnvironment> {
    const options = {...DEFAULT_ENGINE_OPTIONS, ...this.deployment, server};
    const engine = new EngineModel(
      this.scheduler,
      this.random,
      this.weightStore,
      options,
    );
    this.engines.set(server, engine);
    return engineRoutes(engine);
  }

  private addPlainService(server: string): Hono<NodeEnvironment> {
    const {plainLatencyMs} = this.deployment;
    const service = new PlainServiceModel(
      this.scheduler,
      this.random,
      plainLatencyMs,
    );
    this.plainServices.set(server, service);
    return plainServiceRoutes(service);
  }
}

const hostListRoutes = (hostList: HostListModel): Hono<NodeEnvironment> => {
  const routes = new Hono<NodeEnvironment>();
  routes.get('/hosts', (context) =>
    context.json(hostList.read() satisfies HostList),
  );
  return routes;
};
