package plankwall.core.state

import plankwall.model.ImageIndex
import plankwall.model.MachineType

/**
 * The images that are expected in a machine's cache, and its fetches in progress, as the leader derives them from the
 * tasks that it placed there and those that run. Times are in seconds of the monotonic clock.
 */
class ImageCache {
    /** An image of [gb] gigabytes that should be in the cache from [readyAt] on. */
    class CachedImage(val gb: Double, val readyAt: Double)

    /** The machine's type, which states the speed of fetches and the size of the cache; null until it is known. */
    var type: MachineType? = null

    /**
     * The cached images by [ImageIndex], the least recently used first. Reading an entry does not count as use.
     */
    val images = LinkedHashMap<Int, CachedImage>()

    /** The time at which the image fetches in progress should be finished. */
    private var fetchBusyUntil = 0.0

    /** Returns the seconds until [image] would be on the machine if a task that needs it were placed now. */
    fun fetchWaitS(image: ImageIndex, gb: Double, now: Double): Double {
        val cached = images[image.value]
        if (cached != null) return (cached.readyAt - now).coerceAtLeast(0.0)
        return (fetchBusyUntil - now).coerceAtLeast(0.0) + fetchS(gb)
    }

    /**
     * Returns the seconds by which fetching [image] as well would delay, on average, the tasks here that wait for other
     * images.
     */
    fun fetchDelayS(image: ImageIndex, gb: Double, now: Double): Double {
        if (images[image.value] != null) return 0.0
        return minOf((fetchBusyUntil - now).coerceAtLeast(0.0), fetchS(gb)) * 0.5
    }

    /** Returns the seconds to fetch [gb] gigabytes, at one gigabyte per second while the machine type is unknown. */
    private fun fetchS(gb: Double): Double = type?.fetchS(gb) ?: gb

    /**
     * Records that a task that needs [image] was placed on this machine, so that the worker will fetch it unless it is
     * cached.
     */
    fun scheduleFetch(image: ImageIndex, gb: Double, now: Double) {
        val cached = images[image.value]
        if (cached == null) fetchBusyUntil = now + fetchWaitS(image, gb, now)
        record(image, gb, cached?.readyAt ?: fetchBusyUntil)
    }

    /**
     * Records that [image] is in use and should be cached at [readyAt]. The least recently used images are evicted if
     * the cache cannot hold them all.
     */
    fun record(image: ImageIndex, gb: Double, readyAt: Double) {
        images.remove(image.value)
        images[image.value] = CachedImage(gb, readyAt)
        var totalGb = images.values.sumOf { it.gb }
        val cacheGb = type?.cacheGb ?: return
        val leastRecentlyUsed = images.entries.iterator()
        while (totalGb > cacheGb && leastRecentlyUsed.hasNext()) {
            val entry = leastRecentlyUsed.next()
            if (entry.key == image.value) continue
            totalGb -= entry.value.gb
            leastRecentlyUsed.remove()
        }
    }
}
