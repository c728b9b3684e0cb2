#pragma once

/** Clients of the platform: object API, instance list, weight store, rating service. */
